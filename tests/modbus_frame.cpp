// Modbus/TCP on the wire: frames as they come, what requests are refused, which answers are none. Runs under
// the address and undefined-behaviour sanitizers.
#include <random>

#include "modbus.h"

using namespace firtide::modbus;

namespace
{

void print(const std::variant<Frame, Broken>& what)
{
    if (const auto* f = std::get_if<Frame>(&what))
        std::printf("transaction %u unit %u pdu %s\n", f->transaction, f->unit, hex(f->pdu).c_str());
    else
        std::printf("closed: %s\n", std::get<Broken>(what) == Broken::protocol ? "protocol" : "length");
}

void framed(const char* what, std::string_view in, size_t at_a_time = 1000)
{
    std::printf("-- %s\n", what);
    Framer framer;
    const auto raw = bytes(in);
    for (size_t i = 0; i < raw.size(); i += at_a_time) {
        framer.feed(std::string_view(raw).substr(i, at_a_time));
        while (const auto next = framer.next()) {
            print(*next);
            if (std::holds_alternative<Broken>(*next)) return;
        }
    }
    std::printf("held: %zu\n", framer.held());
}

void request(std::string_view in)
{
    const auto pdu = bytes(in);
    const auto got = decode_request(pdu);
    if (const auto* e = std::get_if<Exception>(&got))
        std::printf("%s: exception %02x\n", std::string(in).c_str(), static_cast<unsigned>(*e));
    else
        std::printf("%s: %s, encoded %s\n", std::string(in).c_str(),
                    std::get<Request>(got).writes() ? "a write" : "a read",
                    encode(std::get<Request>(got)) == pdu ? "alike" : "otherwise");
}

void answer(std::string_view to, std::string_view in)
{
    const auto got = answers(std::get<Request>(decode_request(bytes(to))), bytes(in));
    std::printf("%s to %s: %s\n", std::string(in).c_str(), std::string(to).c_str(),
                !got             ? "no answer to it"
                : got->exception ? "an exception"
                                 : "its answer");
}

// Good requests with some bytes changed, cut or doubled, fed in pieces. Whatever is taken encodes to itself.
void mutated()
{
    const std::string good[] = {"01 0000 0010",         "03 0001 007d",
                                "05 0003 ff00",         "06 0004 1234",
                                "0f 0000 000a 02 cd01", "10 0000 0002 04 000a 0102",
                                "16 0004 00f2 0025",    "17 0003 0006 000e 0003 06 00ff00ff00ff"};
    std::ranlux24_base chance(5);
    int taken = 0, refused = 0, closed = 0, otherwise = 0, kept = 0;
    for (int i = 0; i < 40000; ++i) {
        auto raw = encode(static_cast<uint16_t>(i), 7, bytes(good[chance() % std::size(good)]));
        if (chance() % 4 == 0) raw += encode(1, 7, bytes(good[chance() % std::size(good)]));
        for (auto n = chance() % 4; n > 0; --n) {
            const auto at = chance() % raw.size();
            if (chance() % 3)
                raw[at] = static_cast<char>(chance());
            else if (raw.size() > 1)
                raw.erase(at, 1 + chance() % 3);
            if (raw.empty()) raw = "x";
        }
        Framer framer;
        for (size_t at = 0; at < raw.size();) {
            const size_t piece = 1 + chance() % 9;
            framer.feed(std::string_view(raw).substr(at, piece));
            at += piece;
            bool open = true;
            while (open) {
                const auto next = framer.next();
                if (!next) break;
                const auto* frame = std::get_if<Frame>(&*next);
                open = frame != nullptr;
                if (!frame) {
                    ++closed, at = raw.size();
                    break;
                }
                const auto got = decode_request(frame->pdu);
                const auto* r = std::get_if<Request>(&got);
                ++(r ? taken : refused);
                if (r) otherwise += encode(*r) != frame->pdu;
                if (r) (void)answers(*r, raw);
            }
        }
        kept += framer.held() > 260;
    }
    std::printf("mutated: %d taken, %d refused, %d closed, %d encoded otherwise, %d held too much\n", taken,
                refused, closed, otherwise, kept);
}

}  // namespace

int main()
{
    framed("a byte at a time", "0102 0000 0006 11 03 006b 0003", 1);
    framed("two and a half in one segment",
           "0001 0000 0006 01 01 0000 0001 0002 0000 0002 01 07 0003 0000 00");
    framed("another protocol is seen before the rest", "0001 0001");
    framed("length 0", "0001 0000 0000");
    framed("length 1", "0001 0000 0001 01");
    framed("length 255", "0001 0000 00ff");
    framed("a good one, then none", "0001 0000 0002 01 07 0002 0000 0000");

    std::printf("-- requests\n");
    for (const char* pdu : {"01 0000 07d0",
                            "01 0000 07d1",
                            "01 0000 0000",
                            "02 fff0 0010",
                            "02 fff0 0011",
                            "03 0000 007d",
                            "03 0000 007e",
                            "04 0000 0001 00",
                            "04 0000",
                            "05 0003 ff00",
                            "05 0003 0000",
                            "05 0003 0001",
                            "06 0004 1234",
                            "06 0004 12",
                            "07",
                            "08 0000 0000",
                            "0f 0000 000a 02 cd01",
                            "0f 0000 000a 03 cd0100",
                            "0f 0000 07b1 f7",
                            "10 0000 0002 04 000a 0102",
                            "10 0000 0002 04 000a 01",
                            "10 0000 0002 06 000a 0102",
                            "10 ffff 0002 04 000a 0102",
                            "10 0000 0000 00",
                            "16 0004 00f2 0025",
                            "16 0004 00f2",
                            "17 0003 0006 000e 0003 06 00ff00ff00ff",
                            "17 0003 0006 000e 0003 05 00ff00ff00",
                            "17 0003 007e 000e 0001 02 00ff",
                            "17 0003 0001 ffff 0002 04 00ff00ff",
                            "2b 0e 01 00",
                            "83 02"})
        request(pdu);

    std::printf("-- answers\n");
    answer("01 0000 000a", "01 02 cd01");
    answer("01 0000 000a", "01 01 cd");
    answer("01 0000 000a", "02 02 cd01");
    answer("03 0000 0002", "03 04 00010002");
    answer("03 0000 0002", "03 04 000100");
    answer("03 0000 0002", "83 06");
    answer("03 0000 0002", "83 06 00");
    answer("03 0000 0002", "83 00");
    answer("03 0000 0002", "84 06");
    answer("06 0004 1234", "06 0004 1234");
    answer("06 0004 1234", "06 0004 1235");
    answer("10 0000 0002 04 000a 0102", "10 0000 0002");
    answer("10 0000 0002 04 000a 0102", "10 0001 0002");
    answer("16 0004 00f2 0025", "16 0004 00f2 0025");
    answer("17 0003 0001 000e 0001 02 00ff", "17 02 00fe");

    std::printf("-- 40000 with bytes changed or lost\n");
    mutated();
}
