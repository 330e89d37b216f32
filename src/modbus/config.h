// The operator file of the Modbus side: TOML, read, checked and given its defaults in this one place.
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "routes.h"
#include "src/base/time.h"

namespace firtide::modbus
{

struct Limits {
    uint32_t clients = 64;
    uint32_t in_flight = 256;             // in all
    uint32_t in_flight_a_client = 8;      // waiting for their turn included
    uint32_t in_flight_a_connection = 1;  // towards a server
};

struct Times {
    Duration read = seconds(1), write = seconds(3);  // a client's time-out, by what it asks for
    Duration connect = seconds(0.2);
    Duration idle_client = seconds(60), idle_server = seconds(30);
};

struct OperatorFile {
    std::string listen;
    Limits limits;
    Times times;
    Routes routes;
};

std::variant<OperatorFile, ConfigError> decode_operator_file(std::string_view text);

}  // namespace firtide::modbus
