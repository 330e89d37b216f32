// Several processes of the program on loopback, with relays between any two, stand-ins round them and a
// checker that watches. Ends every process that it has started.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "checker.h"
#include "fault_proxy.h"
#include "standins.h"
#include "syscall_interposer.h"

namespace firtide::fault_injection
{

struct Plan {
    size_t members = 5, voters = 3, duties = 3, upstreams = 2;
    std::string lease = "1500ms", more;  // more: text at the end of each fleet file
    double drift = 0.02;
    bool shim = false;     // clocks and files under the test cluster's hand
    bool fleet = true;     // false: each balancer by itself, as without a fleet file
    std::string settings;  // further keys of the balancers' settings
};

class TestCluster
{
  public:
    // slot: of those that run side by side; each has ports of its own.
    TestCluster(Plan plan, std::string program, std::string shim, size_t slot);
    ~TestCluster();
    TestCluster(const TestCluster&) = delete;

    const Plan& plan() const { return plan_; }
    size_t size() const { return processes_.size(); }
    event_base* base() { return base_.get(); }
    void run(Duration span);  // the test cluster's own loop
    bool until(const std::function<bool()>& so, Duration most);

    void start(size_t member);
    void kill(size_t member, int signal);  // SIGKILL ends it, SIGSTOP and SIGCONT hold it and let it go on
    bool up(size_t member) const;
    pid_t process(size_t member) const;
    std::optional<int> exit_status(size_t member) const;

    Road road(size_t from, size_t to) const;
    void road_is(size_t from, size_t to, const Road& road);
    FaultProxy& relay(size_t from, size_t to);
    void whole();  // all roads

    Control& control(size_t member);
    std::string folder(size_t member) const;
    void wipe(size_t member);
    void save(size_t member);  // a copy of its folder, to put back later
    void put_back(size_t member);
    void swap_folder(size_t member, size_t with);
    // Of its snapshot: a bit turned, the end cut off, another member's put there.
    void spoil_snapshot(size_t member, const std::string& how, size_t number);
    void tear(size_t member, size_t bytes);  // off the end of its voter's file

    // A line at the door; empty where nobody answers.
    std::string ask(size_t member, const std::string& line, Duration wait = seconds(1));
    void ask_later(size_t member, const std::string& line, std::function<void(std::string)> then);
    // A request to a balancer: the status, 0 where there is no answer.
    int request(size_t member, Duration wait = seconds(1));
    // One whose answer is counted, not waited for.
    void request_later(size_t member, const std::string& tenant);
    std::map<int, uint64_t> answers;                        // to those, by status
    void garbage(size_t member, const std::string& bytes);  // at its fleet address

    std::optional<size_t> leader();
    std::optional<size_t> holder(const std::string& duty);  // as it says itself
    size_t index_of(const std::string& id) const;
    static std::string id_of(size_t member) { return "b" + std::to_string(member + 1); }

    Checker checker;
    DiscoveryStandIn& discovery() { return *discovery_; }
    Upstream& upstream(size_t i) { return *upstreams_[i]; }
    const Receiver& receiver() const { return *receiver_; }
    TimePoint now() const;
    // Let all go on, wait for what they still have to say, and judge.
    std::vector<std::string> judge();
    std::string log(size_t member) const;
    // Fleet files for the next starts: without some members, and with other voters (none named: the first
    // ones).
    void files_are(std::vector<size_t> without, std::vector<size_t> voters);
    std::function<void(size_t member, const std::string& line)> on_line;

  private:
    struct Process;

    void write_files();
    void heard(size_t member, const std::string& line);
    uint16_t free_port();

    Plan plan_;
    std::vector<size_t> without_, voters_;
    const std::string program_, shim_;
    uint16_t next_port_;
    uint64_t later_ = 0;
    std::string folder_;
    EventBasePtr base_;
    std::unique_ptr<Receiver> receiver_;
    std::unique_ptr<DiscoveryStandIn> discovery_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::map<std::pair<size_t, size_t>, std::unique_ptr<FaultProxy>> relays_;
};

}  // namespace firtide::fault_injection
