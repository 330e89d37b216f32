#include "scenario.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <random>
#include <sstream>

#include "src/base/toml_table.h"

namespace firtide::fault_injection
{
namespace
{

// A step that cannot be run, or an expectation that was not met in time.
struct StepFailed {
    std::string reason;
};

class ScenarioRunner
{
  public:
    ScenarioRunner(const Scenario& scenario, TestCluster& cluster) : scenario_(scenario), cluster_(cluster)
    {
        for (size_t i = 0; i < scenario.cluster_config.duties; ++i)
            duties_.push_back("d" + std::to_string(i + 1));
    }

    void run_step(const std::string& line)
    {
        std::istringstream stream(line);
        words_.clear();
        for (std::string word; stream >> word;) words_.push_back(word);
        position_ = 0;
        const auto verb = next_word();
        if (verb == "wait") return cluster_.run_for(next_duration());
        if (verb == "settle") return settle();
        if (verb == "let") return let();
        if (verb == "start") return for_each_remaining_member([&](size_t i) { cluster_.start(i); });
        if (verb == "kill")
            return for_each_remaining_member([&](size_t i) { cluster_.send_signal(i, SIGKILL); });
        if (verb == "term")
            return for_each_remaining_member([&](size_t i) { cluster_.send_signal(i, SIGTERM); });
        if (verb == "stop")
            return for_each_remaining_member([&](size_t i) { cluster_.send_signal(i, SIGSTOP); });
        if (verb == "continue")
            return for_each_remaining_member([&](size_t i) { cluster_.send_signal(i, SIGCONT); });
        if (verb == "save") return cluster_.save_folder(next_member());
        if (verb == "disk") return disk();
        if (verb == "files") return files();
        if (verb == "snapshot") {
            const size_t a = next_member();
            const auto how = next_word();
            return cluster_.damage_snapshot(a, how,
                                            how == "of" ? next_member() : static_cast<size_t>(next_number()));
        }
        if (verb == "clock") {
            InterposerControl& c = cluster_.control(next_member());
            return (void)(c.clock_rate = next_number());
        }
        if (verb == "cut" || verb == "delay" || verb == "hold" || verb == "refuse" || verb == "rate")
            return change_links(verb);
        if (verb == "cut-off") return cut_off();
        if (verb == "split") return split();
        if (verb == "whole") return cluster_.heal_links();
        if (verb == "flap") return flap();
        if (verb == "change" || verb == "repeat" || verb == "tear") return corrupt_link_data(verb);
        if (verb == "garbage") return garbage();
        if (verb == "door") return door();
        if (verb == "door-later") return door_later();
        if (verb == "until-door") return until_door();
        if (verb == "discovery") return discovery();
        if (verb == "served-by") return served_by();
        if (verb == "spread") return spread();
        if (verb == "without") return cluster_.set_fleet_members({next_member()}, {});
        if (verb == "voters") return cluster_.set_fleet_members({}, remaining_members());
        if (verb == "roll") return roll();
        if (verb == "expect") return expect();
        if (verb == "flood") return flood();
        if (verb == "calm") return flood_.reset();
        if (verb == "upstream") return upstream();
        throw StepFailed{"unknown step '" + verb + "'"};
    }

  private:
    // Sends requests at a constant rate to the running members in turn, until the step "calm".
    struct Flood {
        ScenarioRunner* runner = nullptr;
        double rate = 0;
        std::string tenant;
        TimePoint started_at;
        uint64_t sent = 0;
        size_t next_member = 0;
        EventPtr timer;
    };

    void flood()
    {
        flood_ = std::make_unique<Flood>();
        flood_->runner = this, flood_->rate = next_number(), flood_->started_at = monotonic_now();
        if (has_more_words()) flood_->tenant = next_word();
        flood_->timer.reset(event_new(
            cluster_.base(), -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) {
                auto& f = *static_cast<Flood*>(self);
                const auto due = static_cast<uint64_t>(f.rate * (monotonic_now() - f.started_at).seconds());
                TestCluster& cluster = f.runner->cluster_;
                for (size_t tries = 0; f.sent < due && tries < due - f.sent + cluster.size(); ++tries) {
                    const size_t i = f.next_member++ % cluster.size();
                    if (!cluster.is_running(i)) continue;
                    cluster.start_request(i, f.tenant);
                    ++f.sent;
                }
            },
            flood_.get()));
        const auto every = to_timeval(seconds(0.005));
        event_add(flood_->timer.get(), &every);
    }

    void upstream()
    {
        const auto name = next_word(), mode = next_word();
        using Mode = Upstream::Mode;
        const std::map<std::string, Mode> modes = {{"well", Mode::healthy},
                                                   {"frozen", Mode::hanging},
                                                   {"full", Mode::overloaded},
                                                   {"wrong", Mode::failing}};
        for (size_t i = 0; i < scenario_.cluster_config.upstreams; ++i) {
            if (name != "all" && cluster_.upstream(i).name() != name) continue;
            if (mode == "cold")
                cluster_.discovery().mark_restarted(cluster_.upstream(i).name());
            else if (mode == "wrong-to")
                cluster_.upstream(i).fail_ids_with_prefix(
                    has_more_words() ? "l" + TestCluster::id_of(next_member()) + "-" : "");
            else if (modes.count(mode))
                cluster_.upstream(i).set_mode(modes.at(mode));
            else
                throw StepFailed{"unknown state of an upstream: '" + mode + "'"};
        }
    }

    // Counts the requests that reach upstreams during `period`. Their mean rate must be between `least` and
    // `mean` a second, and no window of one second may hold more than `maximum`.
    void expect_reached(const std::string& name, Duration period, double least, double maximum, double mean)
    {
        const TimePoint from = monotonic_now();
        cluster_.run_for(period);
        std::vector<TimePoint> all;
        for (size_t i = 0; i < scenario_.cluster_config.upstreams; ++i) {
            if (name != "all" && cluster_.upstream(i).name() != name) continue;
            for (const TimePoint p : cluster_.upstream(i).recent_requests())
                if (p >= from) all.push_back(p);
        }
        std::sort(all.begin(), all.end());
        size_t worst = 0, first = 0;
        for (size_t last = 0; last < all.size(); ++last) {
            while (all[last] - all[first] > seconds(1)) ++first;
            worst = std::max(worst, last - first + 1);
        }
        const double rate = static_cast<double>(all.size()) / period.seconds();
        if (rate < least || rate > mean || static_cast<double>(worst) > maximum)
            throw StepFailed{std::to_string(rate) + " requests a second, at most " + std::to_string(worst) +
                             " within one second"};
    }

    std::string next_word()
    {
        if (position_ >= words_.size()) throw StepFailed{"the step ends too early: a word is missing"};
        return words_[position_++];
    }
    bool has_more_words() const { return position_ < words_.size(); }
    std::string remaining_words()
    {
        std::string text;
        while (has_more_words()) text += (text.empty() ? "" : " ") + next_word();
        return text;
    }
    double next_number() { return std::strtod(next_word().c_str(), nullptr); }
    static Duration parse_duration(const std::string& text)
    {
        char* unit = nullptr;
        const double value = std::strtod(text.c_str(), &unit);
        return seconds(value * (std::string(unit) == "ms" ? 1e-3 : 1));
    }
    Duration next_duration() { return parse_duration(next_word()); }
    // Removes "within 3s" from the step and returns its duration.
    Duration take_within()
    {
        for (size_t i = position_; i + 1 < words_.size(); ++i)
            if (words_[i] == "within") {
                const Duration timeout = parse_duration(words_[i + 1]);
                words_.erase(words_.begin() + static_cast<ptrdiff_t>(i),
                             words_.begin() + static_cast<ptrdiff_t>(i) + 2);
                return timeout;
            }
        return seconds(0.05);
    }
    size_t next_member() { return resolve_member(next_word()); }
    size_t resolve_member(const std::string& name)
    {
        if (const auto known = named_members_.find(name); known != named_members_.end()) return known->second;
        if (name == "leader" || name.starts_with("holder:")) {
            std::optional<size_t> found;
            cluster_.run_until(
                [&] {
                    found = name == "leader" ? cluster_.leader() : cluster_.holder(name.substr(7));
                    return found.has_value();
                },
                seconds(5));
            if (!found) throw StepFailed{"there is no " + name};
            return *found;
        }
        // The first voter, or member without a vote, that has no name yet and is not the leader.
        if (name == "voter" || name == "member") {
            const auto leader = cluster_.leader();
            for (size_t i = 0; i < cluster_.size(); ++i) {
                bool named = leader == i;
                for (const auto& [n, m] : named_members_) named |= m == i;
                if (!named && (i < scenario_.cluster_config.voters) == (name == "voter")) return i;
            }
            throw StepFailed{"there is no other " + name};
        }
        return cluster_.index_of(name);
    }
    std::vector<size_t> remaining_members()
    {
        std::vector<size_t> members;
        while (has_more_words()) {
            const auto name = next_word();
            if (name == "all")
                for (size_t i = 0; i < cluster_.size(); ++i) members.push_back(i);
            else
                members.push_back(resolve_member(name));
        }
        return members;
    }
    template <class F>
    void for_each_remaining_member(F action)
    {
        for (const size_t i : remaining_members()) action(i);
    }

    void settle()
    {
        const bool held = cluster_.run_until(
            [&] {
                for (const auto& d : duties_)
                    if (!cluster_.checker.holder(d)) return false;
                return cluster_.leader().has_value();
            },
            seconds(15));
        if (!held) throw StepFailed{"not all duties had a holder, or there was no leader, within 15 s"};
        cluster_.run_for(seconds(0.3));
    }
    void let()
    {
        const auto name = next_word();
        (void)next_word();  // "="
        named_members_[name] = next_member();
    }
    void disk()
    {
        const size_t i = next_member();
        const auto what = next_word();
        if (cluster_.is_running(i))
            throw StepFailed{"the process of " + TestCluster::id_of(i) + " is still running"};
        if (what == "lost")
            cluster_.delete_folder(i);
        else if (what == "saved")
            cluster_.restore_folder(i);
        else if (what == "of")
            cluster_.copy_folder_from(i, next_member());
        else if (what == "torn")
            cluster_.truncate_voter_log(i, static_cast<size_t>(next_number()));
        else
            throw StepFailed{"unknown state of a disk: '" + what + "'"};
    }
    void files()
    {
        InterposerControl& c = cluster_.control(next_member());
        const auto what = next_word();
        const double rate = c.clock_rate;
        if (what == "well")
            c = {}, c.clock_rate = rate;
        else if (what == "slow")
            c.fsync_delay_ms = static_cast<int>(next_duration().us / 1000);
        else if (what == "full")
            c.write_errno = ENOSPC;
        else if (what == "broken")
            c.write_errno = c.fsync_errno = EIO;
        else if (what == "short")
            c.short_writes = 1;
        else if (what == "read-only")
            c.read_only = 1;
        else if (what == "lying")
            c.skip_fsync = 1;
        else
            throw StepFailed{"unknown fault of files: '" + what + "'"};
    }
    // "cut A B", "delay 2s A B": the link from A to B; "delay 2s": all links.
    void change_links(const std::string& verb)
    {
        Duration delay;
        double rate = 0;
        if (verb == "delay") delay = next_duration();
        if (verb == "rate") rate = next_number();
        const auto change = [&](size_t a, size_t b) {
            LinkConditions link = cluster_.link(a, b);
            if (verb == "cut") link.blackholed = true;
            if (verb == "hold") link.paused = true;
            if (verb == "refuse") link.reset = true;
            if (verb == "delay") link.delay = delay;
            if (verb == "rate") link.bytes_per_second = rate;
            cluster_.set_link(a, b, link);
        };
        if (has_more_words()) {
            const size_t a = next_member(), b = next_member();
            return change(a, b);
        }
        for (size_t a = 0; a < cluster_.size(); ++a)
            for (size_t b = 0; b < cluster_.size(); ++b)
                if (a != b) change(a, b);
    }
    void cut_link(size_t a, size_t b)
    {
        LinkConditions link = cluster_.link(a, b);
        link.blackholed = true;
        cluster_.set_link(a, b, link);
    }
    // "cut-off A": both directions; "cut-off A deaf": it receives nothing; "cut-off A mute": nothing that it
    // sends arrives. A final "voters" limits this to its links with voters.
    void cut_off()
    {
        const size_t a = next_member();
        bool deaf = true, mute = true, voters = false;
        while (has_more_words()) {
            const auto w = next_word();
            if (w == "deaf") mute = false;
            if (w == "mute") deaf = false;
            if (w == "voters") voters = true;
        }
        for (size_t b = 0; b < cluster_.size(); ++b) {
            if (a == b || (voters && b >= scenario_.cluster_config.voters)) continue;
            if (mute) cut_link(a, b);
            if (deaf) cut_link(b, a);
        }
    }
    void split()
    {
        const auto side = remaining_members();
        const auto in = [&](size_t i) { return std::find(side.begin(), side.end(), i) != side.end(); };
        for (size_t a = 0; a < cluster_.size(); ++a)
            for (size_t b = 0; b < cluster_.size(); ++b)
                if (a != b && in(a) != in(b)) cut_link(a, b);
    }
    void flap()
    {
        const size_t a = next_member();
        const Duration every = next_duration();
        const int times = static_cast<int>(next_number());
        for (int n = 0; n < times; ++n) {
            for (size_t b = 0; b < cluster_.size(); ++b)
                if (a != b) cut_link(a, b), cut_link(b, a);
            cluster_.run_for(every);
            cluster_.heal_links();
            cluster_.run_for(every);
        }
    }
    void corrupt_link_data(const std::string& verb)
    {
        const size_t a = next_member();
        const auto inject_fault = [&](size_t b) {
            FaultProxy& proxy = cluster_.proxy(a, b);
            if (verb == "change") proxy.corrupt_next();
            if (verb == "repeat") proxy.duplicate_next();
            if (verb == "tear") proxy.truncate_next(7);
        };
        if (has_more_words()) return inject_fault(next_member());
        for (size_t b = 0; b < cluster_.size(); ++b)
            if (a != b) inject_fault(b);
    }
    void garbage()
    {
        const size_t i = next_member();
        cluster_.send_raw_bytes(i, "GET / HTTP/1.1\r\n\r\n");
        cluster_.send_raw_bytes(i, std::string(64, '\xff'));
        cluster_.send_raw_bytes(i, std::string(24, '\0') + "x");
        cluster_.send_raw_bytes(i, "x");
        cluster_.run_for(seconds(0.2));
    }
    // The words up to "->" as a line for the management port, with the scenario's names replaced by member
    // ids; and the words after "->".
    std::pair<std::string, std::string> management_line()
    {
        std::string line;
        while (has_more_words()) {
            const auto w = next_word();
            if (w == "->") return {line, remaining_words()};
            const auto known = named_members_.find(w);
            line += (line.empty() ? "" : " ") +
                    (known == named_members_.end() ? w : TestCluster::id_of(known->second));
        }
        return {line, ""};
    }
    // "door A LINE -> PREFIX": the answer of A's management port must prefix with PREFIX.
    void door()
    {
        const size_t i = next_member();
        const auto [line, prefix] = management_line();
        const auto answer = cluster_.management_command(i, line, seconds(12));
        if (!answer.starts_with(prefix))
            throw StepFailed{"the management port of " + TestCluster::id_of(i) +
                             " answered: " + answer.substr(0, answer.find('\n'))};
    }
    // "door-later A LINE": does not wait for the answer.
    void door_later()
    {
        const size_t i = next_member();
        cluster_.start_management_command(i, management_line().first, [](const std::string&) {});
        cluster_.run_for(seconds(0.01));
    }
    // "until-door A LINE 5s -> PREFIX": repeats the line until the answer starts with PREFIX.
    void until_door()
    {
        const size_t i = next_member();
        auto [line, prefix] = management_line();
        const auto space = line.rfind(' ');
        const Duration timeout = parse_duration(line.substr(space + 1));
        line.resize(space);
        std::string answer;
        if (!cluster_.run_until(
                [&] { return (answer = cluster_.management_command(i, line)).starts_with(prefix); }, timeout))
            throw StepFailed{"the management port of " + TestCluster::id_of(i) + " never answered '" +
                             prefix + "'; last answer: " + answer};
    }
    // "served-by A... not U": sends 6 requests to each member; none of them may reach the upstream U.
    void served_by()
    {
        std::vector<size_t> from;
        for (auto w = next_word(); w != "not"; w = next_word()) {
            if (w != "all") {
                from.push_back(resolve_member(w));
                continue;
            }
            for (size_t i = 0; i < cluster_.size(); ++i)
                if (cluster_.is_running(i)) from.push_back(i);
        }
        const size_t upstream = std::strtoul(next_word().c_str() + 1, nullptr, 10) - 1;
        const auto before = cluster_.upstream(upstream).request_count();
        for (const size_t i : from)
            for (int n = 0; n < 6; ++n)
                if (cluster_.request(i) != 200)
                    throw StepFailed{TestCluster::id_of(i) + " does not answer with status 200"};
        if (cluster_.upstream(upstream).request_count() != before)
            throw StepFailed{"some requests were served by " + words_.back()};
    }
    // "spread LEAST MOST within T": each running member must hold from LEAST to MOST duties.
    void spread()
    {
        const Duration within = take_within();
        const auto least = static_cast<size_t>(next_number()), most = static_cast<size_t>(next_number());
        expect_eventually(
            [&] {
                std::map<std::string, size_t> loads;
                for (const auto& d : duties_)
                    if (const auto h = cluster_.checker.holder(d)) ++loads[*h];
                for (size_t i = 0; i < cluster_.size(); ++i)
                    if (const size_t n = loads[TestCluster::id_of(i)];
                        cluster_.is_running(i) && (n < least || n > most))
                        return false;
                return true;
            },
            within, "a member holds too few or too many duties");
    }
    // Restarts the members one after another, as in a rolling update.
    void roll()
    {
        for (const size_t i : remaining_members()) {
            cluster_.send_signal(i, SIGTERM);
            cluster_.run_until([&] { return !cluster_.is_running(i); }, seconds(6));
            cluster_.start(i);
            cluster_.run_for(seconds(1));
        }
    }
    void discovery()
    {
        const auto what = next_word();
        if (what == "silent") return cluster_.discovery().set_unavailable(true);
        if (what == "speaks") return cluster_.discovery().set_unavailable(false);
        if (what == "empty" || what == "whole") return cluster_.discovery().set_empty(what == "empty");
        cluster_.discovery().set_target_state(next_word(), what);
    }

    void expect()
    {
        const auto what = next_word();
        const Duration within = take_within();
        if (what == "held") return expect_held(next_word(), within);
        if (what == "holder") {
            const auto duty = next_word();
            const size_t i = next_member();
            return expect_eventually([&] { return cluster_.holder(duty) == i; }, within,
                                     TestCluster::id_of(i) + " does not hold " + duty);
        }
        if (what == "leader")
            return expect_eventually([&] { return cluster_.leader().has_value(); }, within,
                                     "there is no leader");
        if (what == "serves") {
            for (const size_t i : remaining_members())
                expect_eventually([&] { return cluster_.request(i) == 200; }, within,
                                  TestCluster::id_of(i) + " does not answer with status 200");
            return;
        }
        if (what == "exit") {
            const size_t i = next_member();
            const int status = static_cast<int>(next_number());
            return expect_eventually(
                [&] { return cluster_.exit_status(i) == status; }, within,
                TestCluster::id_of(i) + " did not exit with status " + std::to_string(status));
        }
        if (what == "show" || what == "log") {
            const size_t i = next_member();
            const bool absent = has_more_words() && words_[position_] == "no" && next_word() == "no";
            auto text = remaining_words();
            if (text.starts_with(": ")) text.erase(0, 2);
            for (const auto& [name, m] : named_members_)
                for (size_t at; (at = text.find("{" + name + "}")) != std::string::npos;)
                    text.replace(at, name.size() + 2, TestCluster::id_of(m));
            const auto condition = [&] {
                const auto all =
                    what == "log" ? cluster_.log(i) : cluster_.management_command(i, "show-fleet");
                return (all.find(text) != std::string::npos) != absent;
            };
            return expect_eventually(condition, within,
                                     "the " + what + " of " + TestCluster::id_of(i) +
                                         (absent ? " contains '" : " does not contain '") + text + "'");
        }
        if (what == "refused") {
            const auto least = static_cast<uint64_t>(next_number());
            return expect_eventually(
                [&] { return cluster_.receiver().rejected_count() >= least; }, within,
                "the receiver rejected fewer than " + std::to_string(least) + " effects");
        }
        if (what == "probes") {
            const auto before = total_probes();
            cluster_.run_for(within);
            const double rate = static_cast<double>(total_probes() - before) / within.seconds();
            const double least = next_number(), maximum = next_number();
            if (rate < least || rate > maximum) throw StepFailed{std::to_string(rate) + " probes a second"};
            return;
        }
        if (what == "reached") {
            const auto name = next_word();
            const double least = next_number(), maximum = next_number();
            return expect_reached(name, within, least, maximum, has_more_words() ? next_number() : maximum);
        }
        if (what == "answers") {  // the share of the responses that have this status
            const auto status = static_cast<int>(next_number());
            const double least = next_number(), maximum = next_number();
            cluster_.response_counts.clear();
            cluster_.run_for(within);
            double sum = 0;
            for (const auto& [code, n] : cluster_.response_counts) sum += static_cast<double>(n);
            const double share = static_cast<double>(cluster_.response_counts[status]) / std::max(1.0, sum);
            if (share < least || share > maximum)
                throw StepFailed{"a share of " + std::to_string(share) + " of " + std::to_string(sum) +
                                 " responses"};
            return;
        }
        if (what == "calls") {
            const auto before = cluster_.discovery().request_count();
            cluster_.run_for(within);
            const double rate =
                static_cast<double>(cluster_.discovery().request_count() - before) / within.seconds();
            const double maximum = next_number();
            if (rate > maximum) throw StepFailed{std::to_string(rate) + " calls to discovery a second"};
            return;
        }
        throw StepFailed{"unknown expectation '" + what + "'"};
    }
    uint64_t total_probes()
    {
        uint64_t n = 0;
        for (size_t i = 0; i < scenario_.cluster_config.upstreams; ++i)
            n += cluster_.upstream(i).probe_count();
        return n;
    }
    void expect_held(const std::string& which, Duration timeout)
    {
        expect_eventually(
            [&] {
                for (const auto& d : duties_)
                    if ((which == "all" || which == d) && !cluster_.checker.holder(d)) return false;
                return true;
            },
            timeout, "not held in time: " + which);
    }
    void expect_eventually(const std::function<bool()>& condition, Duration timeout,
                           const std::string& failure)
    {
        if (!cluster_.run_until(condition, timeout)) throw StepFailed{failure};
    }

    const Scenario& scenario_;
    TestCluster& cluster_;
    std::unique_ptr<Flood> flood_;
    std::vector<std::string> duties_, words_;
    size_t position_ = 0;
    std::map<std::string, size_t> named_members_;
};

}  // namespace

std::variant<Scenario, ConfigError> parse_scenario(std::string_view text)
{
    try {
        const auto from = toml::parse(text);
        const TomlTable top(from, "",
                            {"name", "members", "voters", "duties", "upstreams", "lease", "drift", "shim",
                             "fleet", "more", "settings", "overlap", "steps"});
        Scenario s;
        s.name = top.string("name");
        s.cluster_config.members = top.integer("members", 5, 1, 60);
        s.cluster_config.voters = top.integer("voters", 3, 1, 7);
        s.cluster_config.duties = top.integer("duties", 3, 0, 200);
        s.cluster_config.upstreams = top.integer("upstreams", 2, 1, 40);
        if (top.has("lease")) s.cluster_config.lease = top.string("lease");
        s.cluster_config.drift = top.number("drift", 0.02, 0, 0.1);
        s.cluster_config.interpose_syscalls = top.boolean("shim", false);
        s.cluster_config.use_fleet_file = top.boolean("fleet", true);
        if (top.has("more")) s.cluster_config.extra_fleet_config = top.string("more");
        if (top.has("settings")) s.cluster_config.extra_settings = top.string("settings");
        s.overlap_allowed = top.boolean("overlap", false);
        const auto* steps = from["steps"].as_array();
        if (!steps) throw_config_error("steps", top.line("steps"), "'steps' must be an array");
        for (const auto& step : *steps) {
            const auto* line = step.as_string();
            if (!line) throw_config_error("steps", line_of(step), "each step must be a string");
            s.steps.push_back(line->get());
        }
        return s;
    } catch (const toml::parse_error& e) {
        return ConfigError{{"TOML", static_cast<uint32_t>(e.source().begin.line)},
                           std::string(e.description())};
    } catch (const TomlConfigError& e) {
        return e.error;
    }
}

Scenario random_scenario(uint64_t seed, size_t faults)
{
    std::ranlux24_base random(static_cast<uint32_t>(seed * 2654435761u + 1));
    const auto pick = [&](size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(random); };
    Scenario s;
    s.name = "seed " + std::to_string(seed);
    s.cluster_config.members = 5 + pick(3);
    s.cluster_config.voters = pick(2) ? 3 : 5;
    s.cluster_config.duties = 1 + pick(5);
    s.cluster_config.interpose_syscalls = true;
    const auto any_member = [&] { return TestCluster::id_of(pick(s.cluster_config.members)); };
    const auto any_voter = [&] { return TestCluster::id_of(pick(s.cluster_config.voters)); };
    const auto random_duration = [&](size_t least, size_t most) {
        return std::to_string(least + pick(most - least)) + "ms";
    };
    s.steps = {"start all", "settle"};
    for (size_t n = 0; n < faults; ++n) {
        switch (pick(14)) {
            case 0: s.steps.push_back("kill " + any_member()); break;
            case 1:
            case 2: s.steps.push_back("start " + any_member()); break;
            case 3: s.steps.push_back("stop " + any_member()); break;
            case 4:
            case 5: s.steps.push_back("continue all"); break;
            case 6: s.steps.push_back("cut-off " + any_member()); break;
            case 7: s.steps.push_back("cut-off " + any_member() + (pick(2) ? " deaf" : " mute")); break;
            case 8: s.steps.push_back("whole"); break;
            case 9: s.steps.push_back("delay " + random_duration(1, 900)); break;
            case 10:
                s.steps.push_back("split " + any_member() + " " + any_member() + " " + any_member());
                break;
            case 11: {
                const char* how[] = {"slow 400ms", "full", "broken", "short", "well", "well"};
                s.steps.push_back("files " + any_voter() + " " + how[pick(6)]);
                break;
            }
            case 12: s.steps.push_back("term " + any_member()); break;
            default: {
                const char* how[] = {"change ", "repeat ", "tear "};
                s.steps.push_back(how[pick(3)] + any_member());
            }
        }
        s.steps.push_back("wait " + random_duration(50, 1500));
    }
    s.steps.insert(s.steps.end(), {"whole", "continue all"});
    for (size_t i = 0; i < s.cluster_config.members; ++i)
        s.steps.push_back("files " + TestCluster::id_of(i) + " well");
    s.steps.insert(s.steps.end(),
                   {"wait 3s", "start all", "expect leader within 10s", "expect held all within 10s"});
    return s;
}

ScenarioResult run_scenario(const Scenario& scenario, const std::string& program,
                            const std::string& interposer, size_t preferred_ports)
{
    ScenarioResult result;
    TestCluster cluster(scenario.cluster_config, program, interposer, preferred_ports);
    cluster.checker.overlap_allowed = scenario.overlap_allowed;
    ScenarioRunner runner(scenario, cluster);
    for (const auto& step : scenario.steps) {
        try {
            runner.run_step(step);
        } catch (const StepFailed& f) {
            result.violations.push_back("at '" + step + "': " + f.reason);
            for (size_t i = 0; i < cluster.size(); ++i)
                if (cluster.is_running(i))
                    result.logs += "-- show-fleet of " + TestCluster::id_of(i) + "\n" +
                                   cluster.management_command(i, "show-fleet");
            break;
        } catch (const std::exception& e) {
            result.violations.push_back("at '" + step + "': " + e.what());
            break;
        }
    }
    for (auto& w : cluster.finish_and_check()) result.violations.push_back(std::move(w));
    result.port_conflict = cluster.port_conflict();
    result.gaps = cluster.checker.gaps();
    result.accepted_count = cluster.checker.accepted_count();
    if (!result.violations.empty())
        for (size_t i = 0; i < cluster.size(); ++i)
            result.logs += "-- log of " + TestCluster::id_of(i) + "\n" + cluster.log(i);
    return result;
}

}  // namespace firtide::fault_injection
