// Modbus/TCP on the wire, without I/O: bytes to frames, frames to typed requests, and whether an answer is
// one to a request. By the published application protocol (V1.1b3) and its messaging on TCP (V1.0b).
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace firtide::modbus
{

enum class Function : uint8_t {
    read_coils = 1,
    read_discrete_inputs = 2,
    read_holding_registers = 3,
    read_input_registers = 4,
    write_coil = 5,
    write_register = 6,
    write_coils = 15,
    write_registers = 16,
    mask_write_register = 22,
    read_write_registers = 23
};

enum class Exception : uint8_t {
    illegal_function = 1,
    illegal_address = 2,
    illegal_value = 3,
    server_failure = 4,
    acknowledge = 5,
    busy = 6,
    no_path = 0x0a,
    no_response = 0x0b
};

// What stands between two headers: the function and its data are the PDU.
struct Frame {
    uint16_t transaction = 0;
    uint8_t unit = 0;
    std::string pdu;
};

// Why a connection has to be closed: nothing after it can be told apart any more.
enum class Broken { protocol, length };

// Takes bytes as they come and gives whole frames; holds less than one frame beside what was fed last.
class Framer
{
  public:
    void feed(std::string_view bytes) { held_.append(bytes); }
    // Nullopt where more bytes are wanted. Once broken, always broken.
    std::optional<std::variant<Frame, Broken>> next();
    size_t held() const { return held_.size() - read_; }

  private:
    std::string held_;
    size_t read_ = 0;
    std::optional<Broken> broken_;
};

// One request. `count` are the bits or registers read, or written where nothing is read.
struct Request {
    Function function = Function::read_coils;
    uint16_t address = 0, count = 0;
    uint16_t write_address = 0, write_count = 0;  // read_write_registers
    uint16_t and_mask = 0, or_mask = 0;           // mask_write_register
    std::string values;                           // what is written, as on the wire

    bool writes() const { return function >= Function::write_coil; }
};

std::variant<Request, Exception> decode_request(std::string_view pdu);
std::string encode(const Request& request);
std::string encode(uint16_t transaction, uint8_t unit, std::string_view pdu);
std::string exception_to(uint8_t function, Exception what);

// What a PDU says to a request: nothing where it is no answer to it.
struct Answer {
    std::optional<Exception> exception;
};
std::optional<Answer> answers(const Request& request, std::string_view pdu);

}  // namespace firtide::modbus
