#include "frame.h"

namespace firtide::modbus
{
namespace
{

constexpr size_t header = 6;                           // transaction, protocol, length
constexpr size_t least_length = 2, most_length = 254;  // the unit and a PDU of 1 to 253 bytes
constexpr uint8_t is_exception = 0x80;
constexpr uint16_t on = 0xff00;

uint16_t u8(std::string_view bytes, size_t at) { return static_cast<uint8_t>(bytes[at]); }

uint16_t u16(std::string_view bytes, size_t at)
{
    return static_cast<uint16_t>(u8(bytes, at) << 8 | u8(bytes, at + 1));
}

void put(std::string& to, uint16_t value)
{
    to += static_cast<char>(value >> 8);
    to += static_cast<char>(value & 0xff);
}

size_t bytes_of_bits(size_t bits) { return (bits + 7) / 8; }

bool within(uint16_t address, uint16_t count) { return size_t{address} + count <= 0x10000; }

struct Limits {
    uint16_t reads, writes;  // the most of each; 0: none
};

// Of functions that carry a count.
Limits limits(Function f)
{
    switch (f) {
        case Function::read_coils:
        case Function::read_discrete_inputs: return {2000, 0};
        case Function::read_holding_registers:
        case Function::read_input_registers: return {125, 0};
        case Function::write_coils: return {0, 1968};
        case Function::write_registers: return {0, 123};
        case Function::read_write_registers: return {125, 121};
        default: return {0, 0};
    }
}

bool known(uint8_t f) { return (f >= 1 && f <= 6) || f == 15 || f == 16 || f == 22 || f == 23; }

bool counts(uint16_t count, uint16_t most) { return count >= 1 && count <= most; }

// A byte count and as many bytes, to the PDU's end: the values of `count` bits or registers.
bool holds_values(std::string_view pdu, size_t at, size_t bytes)
{
    return pdu.size() == at + 1 + bytes && u8(pdu, at) == bytes;
}

// Fills the request from the PDU; the exception that refuses it, if it is none.
std::optional<Exception> fill(Request& r, std::string_view pdu)
{
    if (pdu.empty() || !known(static_cast<uint8_t>(u8(pdu, 0)))) return Exception::illegal_function;
    r.function = static_cast<Function>(u8(pdu, 0));
    if (pdu.size() < 5) return Exception::illegal_value;
    r.address = u16(pdu, 1);
    r.count = 1;
    const auto most = limits(r.function);
    switch (r.function) {
        case Function::write_coil:
        case Function::write_register:
            if (pdu.size() != 5) return Exception::illegal_value;
            r.values = pdu.substr(3);
            if (r.function == Function::write_coil && u16(pdu, 3) != 0 && u16(pdu, 3) != on)
                return Exception::illegal_value;
            return {};
        case Function::mask_write_register:
            if (pdu.size() != 7) return Exception::illegal_value;
            r.and_mask = u16(pdu, 3), r.or_mask = u16(pdu, 5);
            return {};
        case Function::write_coils:
        case Function::write_registers: {
            r.count = u16(pdu, 3);
            if (!counts(r.count, most.writes)) return Exception::illegal_value;
            const size_t bytes = r.function == Function::write_coils ? bytes_of_bits(r.count) : 2u * r.count;
            if (!holds_values(pdu, 5, bytes)) return Exception::illegal_value;
            r.values = pdu.substr(6);
            break;
        }
        case Function::read_write_registers:
            if (pdu.size() < 9) return Exception::illegal_value;
            r.count = u16(pdu, 3), r.write_address = u16(pdu, 5), r.write_count = u16(pdu, 7);
            if (!counts(r.count, most.reads) || !counts(r.write_count, most.writes) ||
                !holds_values(pdu, 9, 2u * r.write_count))
                return Exception::illegal_value;
            r.values = pdu.substr(10);
            if (!within(r.write_address, r.write_count)) return Exception::illegal_address;
            break;
        default:
            r.count = u16(pdu, 3);
            if (pdu.size() != 5 || !counts(r.count, most.reads)) return Exception::illegal_value;
    }
    if (!within(r.address, r.count)) return Exception::illegal_address;
    return {};
}

}  // namespace

std::optional<std::variant<Frame, Broken>> Framer::next()
{
    if (broken_) return *broken_;
    const std::string_view rest = std::string_view(held_).substr(read_);
    const auto breaks = [&](Broken why) {
        broken_ = why;
        held_.clear(), read_ = 0;
        return why;
    };
    // Said as soon as it is seen. Guards against waiting for the rest of what is no frame.
    if (rest.size() >= 4 && u16(rest, 2) != 0) return breaks(Broken::protocol);
    if (rest.size() >= header) {
        const size_t length = u16(rest, 4);
        if (length < least_length || length > most_length) return breaks(Broken::length);
        if (rest.size() >= header + length) {
            Frame f{u16(rest, 0), static_cast<uint8_t>(u8(rest, header)),
                    std::string(rest.substr(header + 1, length - 1))};
            read_ += header + length;
            return f;
        }
    }
    held_.erase(0, std::exchange(read_, 0));
    return {};
}

std::variant<Request, Exception> decode_request(std::string_view pdu)
{
    std::variant<Request, Exception> request;
    if (const auto refused = fill(std::get<Request>(request), pdu)) request = *refused;
    return request;
}

std::string encode(const Request& r)
{
    std::string pdu(1, static_cast<char>(r.function));
    put(pdu, r.address);
    switch (r.function) {
        case Function::write_coil:
        case Function::write_register: return pdu + r.values;
        case Function::mask_write_register:
            put(pdu, r.and_mask);
            put(pdu, r.or_mask);
            return pdu;
        default: put(pdu, r.count);
    }
    if (r.function == Function::read_write_registers) {
        put(pdu, r.write_address);
        put(pdu, r.write_count);
    }
    if (!r.writes()) return pdu;
    pdu += static_cast<char>(r.values.size());
    return pdu + r.values;
}

std::string encode(uint16_t transaction, uint8_t unit, std::string_view pdu)
{
    std::string bytes;
    put(bytes, transaction);
    put(bytes, 0);
    put(bytes, static_cast<uint16_t>(pdu.size() + 1));
    bytes += static_cast<char>(unit);
    return bytes.append(pdu);
}

std::string exception_to(uint8_t function, Exception what)
{
    return {static_cast<char>(function | is_exception), static_cast<char>(what)};
}

std::optional<Answer> answers(const Request& r, std::string_view pdu)
{
    if (pdu.empty()) return {};
    const auto function = static_cast<uint8_t>(r.function);
    if (u8(pdu, 0) == (function | is_exception)) {
        if (pdu.size() != 2 || u8(pdu, 1) == 0) return {};
        return Answer{static_cast<Exception>(u8(pdu, 1))};
    }
    if (u8(pdu, 0) != function) return {};
    bool agrees = false;
    switch (r.function) {
        case Function::read_coils:
        case Function::read_discrete_inputs: agrees = holds_values(pdu, 1, bytes_of_bits(r.count)); break;
        case Function::read_holding_registers:
        case Function::read_input_registers:
        case Function::read_write_registers: agrees = holds_values(pdu, 1, 2u * r.count); break;
        case Function::write_coils:
        case Function::write_registers:
            agrees = pdu.size() == 5 && u16(pdu, 1) == r.address && u16(pdu, 3) == r.count;
            break;
        default: agrees = pdu == encode(r);  // an echo
    }
    if (!agrees) return {};
    return Answer{};
}

}  // namespace firtide::modbus
