// Operation, on loopback: the management address, drain, a hot restart under load, large messages.
#include <fcntl.h>
#include <sys/stat.h>

#include <cstring>
#include <mutex>

#include "trace.h"

using namespace firtide;

namespace
{

// The upstream answers by the path: so many bytes, with a length, in chunks or cut off, or the size of the
// body it received.
void serve_upstream(TestConnection& connection);
std::string upstream_endpoint;
std::atomic<int> requests_received{0};

std::string next_id_header()
{
    static std::atomic<int> last{1};
    return "Req-Id: " + std::to_string(++last) + "\r\n";
}

std::string get(const std::string& path)
{
    return "GET /safe/" + path + " HTTP/1.1\r\n" + next_id_header() + "\r\n";
}

size_t number_in(const std::string& text, const char* before)
{
    const auto at = text.find(before);
    return at == std::string::npos ? 0 : std::stoul(text.substr(at + std::strlen(before)));
}

void send_many(TestConnection& connection, size_t bytes)
{
    const std::string block(65536, 'x');
    for (size_t sent = 0; sent < bytes; sent += block.size())
        connection.send(block.substr(0, std::min(block.size(), bytes - sent)));
}

void serve_upstream(TestConnection& connection)
{
    for (std::string head; connection.is_open() && !(head = connection.receive_head()).empty();) {
        ++requests_received;
        const size_t coming = number_in(head, "Content-Length: ");
        const bool chunked = head.find("Transfer-Encoding: chunked") != std::string::npos;
        const size_t came = chunked ? connection.receive_chunked_body() : connection.discard(coming);
        const size_t wanted = number_in(head, "/bytes/");
        if (head.find("/slow") != std::string::npos) sleep_ms(150);
        if (head.find("/cut") != std::string::npos) {
            connection.send(status_line_ok + "\r\nContent-Length: " + std::to_string(wanted) + "\r\n\r\n");
            send_many(connection, wanted / 2);
            return;
        }
        if (head.find("/chunks") != std::string::npos) {
            connection.send(status_line_ok + "\r\nTransfer-Encoding: chunked\r\n\r\n");
            const std::string block(50000, 'x');
            for (size_t n = 0; n < wanted / block.size(); ++n)
                connection.send("c350;e=1\r\n" + block + "\r\n");
            connection.send("0\r\nT: x\r\n\r\n");
        } else if (head.find("/bytes/") != std::string::npos) {
            connection.send(status_line_ok + "\r\nContent-Length: " + std::to_string(wanted) + "\r\n\r\n");
            send_many(connection, wanted);
        } else {
            connection.send(http_message(status_line_ok, "got " + std::to_string(came)));
        }
    }
}

void serve_discovery(TestConnection& connection)
{
    for (std::string request; connection.is_open() && !(request = connection.receive_message()).empty();) {
        if (request.find("after=") != std::string::npos) sleep_ms(200);
        connection.send(
            http_message(status_line_ok, R"({"rev":1,"all":true,"targets":[{"uid":"u","endpoint":")" +
                                             upstream_endpoint + R"(","state":"ready"}]})"));
    }
}

// Sends one line to the management address and returns the whole reply.
std::string send_command(uint16_t management, const std::string& line)
{
    TestConnection connection(management);
    connection.send(line);
    return connection.receive_all();
}

std::string one_line(std::string text)
{
    for (char& c : text)
        if (c == '\n') c = ' ';
    return text.empty() ? "(closed)" : text;
}

std::string metric(const std::string& all, const std::string& name)
{
    const auto at = all.find("node." + name + ":");
    return at == std::string::npos ? name + " is missing" : all.substr(at, all.find('\n', at) - at);
}

void print_reply(const char* what, const std::string& came)
{
    std::printf("%s: %s\n", what, one_line(came).c_str());
}

std::string management_key(uint16_t management)
{
    return R"(,"mgmt":"127.0.0.1:)" + std::to_string(management) + "\"";
}

void at_the_management_address(const std::string& discovery)
{
    const uint16_t management = free_port();
    BalancerProcess firtide(discovery, "64", management_key(management));
    print_reply("ready", send_command(management, "ready\n"));
    print_reply("with a carriage return", send_command(management, "ready\r\n"));
    TestConnection caller(firtide.port);
    for (int i = 0; i < 3; ++i) caller.send_and_receive(get("x"));
    caller.send_and_receive("POST /once/x HTTP/1.1\r\n" + next_id_header() + "Content-Length: 1\r\n\r\nx");
    print_reply("show-stat", send_command(management, "show-stat\n"));
    print_reply("unknown", send_command(management, "hello\n"));
    print_reply("empty", send_command(management, "\n"));
    print_reply("binary input", send_command(management, std::string("\0\xff\x01", 3) + "\n"));
    print_reply("too long", send_command(management, std::string(400, 'x')));
    print_reply("two lines: the first counts", send_command(management, "ready\nresume\n"));
    // Operators must not wait behind callers: hundreds of callers with incomplete requests use all of their
    // side's descriptors, and a hundred connections to the management address never finish their line.
    std::vector<TestConnection> silent, crowd;
    for (int i = 0; i < 200; ++i) crowd.emplace_back(firtide.port), crowd.back().send("GET /safe");
    for (int i = 0; i < 100; ++i) silent.emplace_back(management), silent.back().send("rea");
    const auto since = std::chrono::steady_clock::now();
    const auto answer = send_command(management, "ready\n");
    const bool soon = std::chrono::steady_clock::now() - since < std::chrono::seconds(1);
    std::printf("with many connections: %s%s\n", soon ? "within 1 s, " : "late, ", one_line(answer).c_str());
    silent.clear(), crowd.clear();
    std::printf("exit status %d\n", firtide.stop().status);
}

void draining(const std::string& discovery)
{
    const uint16_t management = free_port();
    BalancerProcess firtide(discovery, "1024", management_key(management));
    print_reply("resume without drain", send_command(management, "resume\n"));
    TestConnection rests(firtide.port), busy(firtide.port), silent(firtide.port);
    rests.send_and_receive(get("x"));
    busy.send(get("slow"));
    print_reply("drain", send_command(management, "drain\n"));
    print_reply("drain again", send_command(management, "drain\n"));
    const std::string is_ready = "GET /-/ready HTTP/1.1\r\n\r\n";
    std::printf("/-/ready: %s\n",
                first_line(TestConnection(firtide.port).send_and_receive(is_ready)).c_str());
    std::printf("what was in flight: %s\n", first_line(busy.receive_message()).c_str());
    std::printf("a new connection: %s\n",
                first_line(TestConnection(firtide.port).send_and_receive(get("x"))).c_str());
    sleep_ms(500);
    const auto late = TestConnection(firtide.port).send_and_receive(get("x"));
    std::printf("a later connection: %s, %s\n", first_line(late).c_str(),
                late.find("Connection: close") != std::string::npos ? "the last on its connection" : "kept");
    std::printf("an idle connection is %s, one that sent nothing is %s\n",
                rests.receives_eof() ? "closed" : "still open",
                silent.receives_eof() ? "closed" : "still open");
    print_reply("resume", send_command(management, "resume\n"));
    TestConnection back(firtide.port);
    std::printf("/-/ready: %s\n", first_line(back.send_and_receive(is_ready)).c_str());
    std::printf("and its connection is %s\n", back.receives_eof(600) ? "closed" : "kept");
    send_command(management, "drain\n");
    kill(firtide.pid, SIGTERM);
    sleep_ms(50);
    print_reply("stopping, drained: resume", send_command(management, "resume\n"));
    std::printf("exit status %d\n", firtide.stop().status);
}

void hot_restart(const std::string& discovery)
{
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    auto at = TestConnection::loopback_address(0);
    bind(listener, reinterpret_cast<sockaddr*>(&at), sizeof at);
    listen(listener, 128);
    socklen_t size = sizeof at;
    getsockname(listener, reinterpret_cast<sockaddr*>(&at), &size);
    const uint16_t port = ntohs(at.sin_port);
    char folder[] = "/tmp/firtide-test-XXXXXX";
    if (!mkdtemp(folder)) return;
    const std::string left_over = std::string(folder) + "/start-before.firtide";
    close(open(left_over.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600));
    mkfifo((std::string(folder) + "/foreign.firtide").c_str(), 0600);
    const auto inherits = [&] {
        dup2(listener, 5);
        setenv("NODE_PASSED_SOCKET", "5", 1), setenv("TMPDIR", folder, 1);
    };
    const uint16_t management = free_port(), new_management = free_port();
    std::atomic<bool> on{true};
    std::atomic<int> served{0}, other{0};
    std::vector<std::thread> callers;
    int status = 0;
    {
        auto old =
            std::make_unique<BalancerProcess>(discovery, "1024", management_key(management), inherits, port);
        for (int i = 0; i < 6; ++i)
            callers.emplace_back([&, i] {
                // Half of them open a new connection for each request, half keep theirs.
                for (auto connection = std::make_unique<TestConnection>(port); on; sleep_ms(2)) {
                    const auto answer = connection->send_and_receive(get("x"));
                    ++(first_line(answer) == status_line_ok ? served : other);
                    if (i % 2 || answer.find("Connection: close") != std::string::npos)
                        connection = std::make_unique<TestConnection>(port);
                }
            });
        sleep_ms(200);
        BalancerProcess next(discovery, "1024", management_key(new_management), inherits, port);
        wait_until([&] { return send_command(new_management, "ready\n") == "SUCCESS ready\n"; });
        print_reply("the new process", send_command(new_management, "ready\n"));
        print_reply("the old process beside it", send_command(management, "ready\n"));
        status = old->stop().status;
        std::printf("the old process exits with %d\n", status);
        sleep_ms(200);
        const auto figures = send_command(new_management, "show-stat\n");
        std::printf("the new process serves: %s\n",
                    number_in(figures, "node.success.safe:") > 20 ? "yes" : "no");
        on = false;
        for (auto& c : callers) c.join();
        std::printf("requests throughout: %s served, %d not\n", served > 100 ? "all" : "few", other.load());
        std::printf("the new process exits with %d\n", next.stop().status);
    }
    ::close(listener);
    // A passed descriptor that is not a listening socket is refused.
    {
        BalancerProcess never(discovery, "1024", "", [] {
            dup2(socket(AF_INET, SOCK_STREAM, 0), 5);
            setenv("NODE_PASSED_SOCKET", "5", 1);
        });
        std::printf("not a listening socket: exit status %d\n", WEXITSTATUS(never.stop().status));
    }
    for (const char* name : {"/start-before.firtide", "/foreign.firtide"})
        unlink((std::string(folder) + name).c_str());
    std::printf("the folder is left %s\n", rmdir(folder) == 0 ? "as it was" : "with something in it");
}

void large_messages(const std::string& discovery)
{
    const uint16_t management = free_port();
    BalancerProcess firtide(discovery, "256,\"memory_mb\":48", management_key(management));
    constexpr size_t large_size = 32 << 20;
    const auto answer = [&](const char* what, const std::string& path, int slowly = 0) {
        TestConnection caller(firtide.port);
        caller.send(get(path));
        const auto head = caller.receive_head();
        if (slowly > 0) sleep_ms(slowly);
        const bool chunked = head.find("Transfer-Encoding: chunked") != std::string::npos;
        const size_t due = number_in(head, "Content-Length: ");
        const size_t n = chunked ? caller.receive_chunked_body() : caller.discard(due);
        // Prints no size: a reset discards received bytes, and how many had been read depends on the
        // system.
        if (!chunked && n < due)
            return void(std::printf("%s: %s, not whole\n", what, first_line(head).c_str()));
        std::printf("%s: %s, %zu bytes\n", what, first_line(head).c_str(), n);
    };
    answer("32 MB", "bytes/" + std::to_string(large_size));
    answer("32 MB in chunks", "bytes/30000000/chunks");
    answer("just over the buffered size", "bytes/65537");
    answer("broken in the middle", "bytes/1000000/cut");
    for (const bool chunked : {false, true}) {
        TestConnection caller(firtide.port);
        caller.send("POST /once/x HTTP/1.1\r\n" + next_id_header() +
                    (chunked ? "Transfer-Encoding: chunked\r\n\r\n"
                             : "Content-Length: " + std::to_string(large_size) + "\r\n\r\n"));
        const std::string block(65536, 'x');
        for (size_t sent = 0; sent < large_size; sent += block.size())
            caller.send(chunked ? "10000\r\n" + block + "\r\n" : block);
        if (chunked) caller.send("0\r\n\r\n");
        const auto got = caller.receive_message();
        std::printf("a request of 32 MB%s: %s\n", chunked ? " in chunks" : "",
                    one_line(got.substr(got.find("\r\n\r\n") + 4)).c_str());
    }
    // Guards against memory that grows with what slow readers have not read.
    std::vector<std::thread> readers;
    std::atomic<int> whole{0};
    for (int i = 0; i < 5; ++i)
        readers.emplace_back([&] {
            TestConnection caller(firtide.port);
            caller.send(get("bytes/" + std::to_string(large_size)));
            caller.receive_head();
            sleep_ms(600);
            whole += caller.discard(large_size) == large_size;
        });
    for (auto& r : readers) r.join();
    std::printf("5 slow readers of 32 MB at once: %d whole\n", whole.load());
    requests_received = 0;
    {
        TestConnection leaves(firtide.port);
        leaves.send("POST /once/x HTTP/1.1\r\n" + next_id_header() + "Content-Length: 1000000\r\n\r\n" +
                    std::string(300000, 'x'));
        wait_until([] { return requests_received == 1; });
    }
    sleep_ms(100);
    const auto all = send_command(management, "show-stat\n");
    for (const char* name :
         {"success.safe", "failure.safe", "success.once", "failure.once", "backend_calls", "inflight"})
        std::printf("%s\n", metric(all, name).c_str());
    const auto used = firtide.stop();
    std::printf("exit status %d, %s 40 MB\n", used.status,
                used.memory_mb < 40 ? "under" : std::to_string(used.memory_mb).c_str());
}

}  // namespace

int main(int, char** argv)
{
    program_path = argv[1];
    signal(SIGPIPE, SIG_IGN);
    TestServer origin(serve_upstream), discovery(serve_discovery);
    upstream_endpoint = origin.endpoint();
    const auto run_part = [&](const char* what, void (*part)(const std::string&)) {
        std::printf("-- %s\n", what);
        std::fflush(stdout);
        part(discovery.endpoint());
    };
    run_part("management", at_the_management_address);
    run_part("drain", draining);
    run_part("a hot restart", hot_restart);
    run_part("large messages", large_messages);
}
