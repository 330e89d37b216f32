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

// A step that cannot be done, or something expected that was not seen.
struct Failed {
    std::string what;
};

class Player
{
  public:
    Player(const Scenario& scenario, TestCluster& cluster) : scenario_(scenario), cluster_(cluster)
    {
        for (size_t i = 0; i < scenario.plan.duties; ++i) duties_.push_back("d" + std::to_string(i + 1));
    }

    void play(const std::string& line)
    {
        std::istringstream in(line);
        words_.clear();
        for (std::string w; in >> w;) words_.push_back(w);
        at_ = 0;
        const auto verb = next();
        if (verb == "wait") return cluster_.run(span());
        if (verb == "settle") return settle();
        if (verb == "let") return let();
        if (verb == "start") return each([&](size_t i) { cluster_.start(i); });
        if (verb == "kill") return each([&](size_t i) { cluster_.kill(i, SIGKILL); });
        if (verb == "term") return each([&](size_t i) { cluster_.kill(i, SIGTERM); });
        if (verb == "stop") return each([&](size_t i) { cluster_.kill(i, SIGSTOP); });
        if (verb == "continue") return each([&](size_t i) { cluster_.kill(i, SIGCONT); });
        if (verb == "save") return cluster_.save(who());
        if (verb == "disk") return disk();
        if (verb == "files") return files();
        if (verb == "snapshot") {
            const size_t a = who();
            const auto how = next();
            return cluster_.spoil_snapshot(a, how, how == "of" ? who() : static_cast<size_t>(number()));
        }
        if (verb == "clock") {
            Control& c = cluster_.control(who());
            return (void)(c.rate = number());
        }
        if (verb == "cut" || verb == "delay" || verb == "hold" || verb == "refuse" || verb == "rate")
            return road(verb);
        if (verb == "cut-off") return cut_off();
        if (verb == "split") return split();
        if (verb == "whole") return cluster_.whole();
        if (verb == "flap") return flap();
        if (verb == "change" || verb == "repeat" || verb == "tear") return bytes(verb);
        if (verb == "garbage") return garbage();
        if (verb == "door") return door();
        if (verb == "door-later") return door_later();
        if (verb == "until-door") return until_door();
        if (verb == "discovery") return discovery();
        if (verb == "served-by") return served_by();
        if (verb == "spread") return spread();
        if (verb == "without") return cluster_.files_are({who()}, {});
        if (verb == "voters") return cluster_.files_are({}, some());
        if (verb == "roll") return roll();
        if (verb == "expect") return expect();
        if (verb == "flood") return flood();
        if (verb == "calm") return flood_.reset();
        if (verb == "upstream") return upstream();
        throw Failed{"no such step"};
    }

  private:
    // Requests to all that run, in turn, until it is calm.
    struct Flood {
        Player* player = nullptr;
        double rate = 0;
        std::string tenant;
        TimePoint from;
        uint64_t sent = 0;
        size_t at = 0;
        EventPtr timer;
    };

    void flood()
    {
        flood_ = std::make_unique<Flood>();
        flood_->player = this, flood_->rate = number(), flood_->from = monotonic_now();
        if (more()) flood_->tenant = next();
        flood_->timer.reset(event_new(
            cluster_.base(), -1, EV_PERSIST,
            [](evutil_socket_t, short, void* self) {
                auto& f = *static_cast<Flood*>(self);
                const auto due = static_cast<uint64_t>(f.rate * (monotonic_now() - f.from).seconds());
                TestCluster& cluster = f.player->cluster_;
                for (size_t tries = 0; f.sent < due && tries < due - f.sent + cluster.size(); ++tries) {
                    const size_t i = f.at++ % cluster.size();
                    if (!cluster.up(i)) continue;
                    cluster.request_later(i, f.tenant);
                    ++f.sent;
                }
            },
            flood_.get()));
        const auto every = to_timeval(seconds(0.005));
        event_add(flood_->timer.get(), &every);
    }

    void upstream()
    {
        const auto name = next(), mood = next();
        using Mood = Upstream::Mood;
        const std::map<std::string, Mood> moods = {
            {"well", Mood::well}, {"frozen", Mood::frozen}, {"full", Mood::full}, {"wrong", Mood::wrong}};
        for (size_t i = 0; i < scenario_.plan.upstreams; ++i) {
            if (name != "all" && cluster_.upstream(i).name() != name) continue;
            if (mood == "cold")
                cluster_.discovery().started(cluster_.upstream(i).name());
            else if (mood == "wrong-to")
                cluster_.upstream(i).wrong_to(more() ? "l" + TestCluster::id_of(who()) + "-" : "");
            else if (moods.count(mood))
                cluster_.upstream(i).mood_is(moods.at(mood));
            else
                throw Failed{"no such mood"};
        }
    }

    // What reached upstreams meanwhile: so many a second at least, never more within any one second, nor on
    // the mean.
    void expect_reached(const std::string& name, Duration most, double least, double greatest, double mean)
    {
        const TimePoint from = monotonic_now();
        cluster_.run(most);
        std::vector<TimePoint> all;
        for (size_t i = 0; i < scenario_.plan.upstreams; ++i) {
            if (name != "all" && cluster_.upstream(i).name() != name) continue;
            for (const TimePoint p : cluster_.upstream(i).reached())
                if (p >= from) all.push_back(p);
        }
        std::sort(all.begin(), all.end());
        size_t worst = 0, first = 0;
        for (size_t last = 0; last < all.size(); ++last) {
            while (all[last] - all[first] > seconds(1)) ++first;
            worst = std::max(worst, last - first + 1);
        }
        const double rate = static_cast<double>(all.size()) / most.seconds();
        if (rate < least || rate > mean || static_cast<double>(worst) > greatest)
            throw Failed{std::to_string(rate) + " a second, " + std::to_string(worst) +
                         " in one second at the most"};
    }

    std::string next()
    {
        if (at_ >= words_.size()) throw Failed{"a word is missing"};
        return words_[at_++];
    }
    bool more() const { return at_ < words_.size(); }
    std::string rest()
    {
        std::string out;
        while (more()) out += (out.empty() ? "" : " ") + next();
        return out;
    }
    double number() { return std::strtod(next().c_str(), nullptr); }
    static Duration to_span(const std::string& text)
    {
        char* unit = nullptr;
        const double value = std::strtod(text.c_str(), &unit);
        return seconds(value * (std::string(unit) == "ms" ? 1e-3 : 1));
    }
    Duration span() { return to_span(next()); }
    // "... within 3s" at the end of an expectation.
    Duration within()
    {
        for (size_t i = at_; i + 1 < words_.size(); ++i)
            if (words_[i] == "within") {
                const Duration s = to_span(words_[i + 1]);
                words_.erase(words_.begin() + static_cast<ptrdiff_t>(i),
                             words_.begin() + static_cast<ptrdiff_t>(i) + 2);
                return s;
            }
        return seconds(0.05);
    }
    size_t who() { return who(next()); }
    size_t who(const std::string& name)
    {
        if (const auto known = names_.find(name); known != names_.end()) return known->second;
        if (name == "leader" || name.starts_with("holder:")) {
            std::optional<size_t> found;
            cluster_.until(
                [&] {
                    found = name == "leader" ? cluster_.leader() : cluster_.holder(name.substr(7));
                    return found.has_value();
                },
                seconds(5));
            if (!found) throw Failed{"there is no " + name};
            return *found;
        }
        // A voter, or a member without a vote, that has no name yet and leads nothing.
        if (name == "voter" || name == "member") {
            const auto leader = cluster_.leader();
            for (size_t i = 0; i < cluster_.size(); ++i) {
                bool named = leader == i;
                for (const auto& [n, m] : names_) named |= m == i;
                if (!named && (i < scenario_.plan.voters) == (name == "voter")) return i;
            }
            throw Failed{"there is no other " + name};
        }
        return cluster_.index_of(name);
    }
    std::vector<size_t> some()
    {
        std::vector<size_t> out;
        while (more()) {
            const auto name = next();
            if (name == "all")
                for (size_t i = 0; i < cluster_.size(); ++i) out.push_back(i);
            else
                out.push_back(who(name));
        }
        return out;
    }
    template <class F>
    void each(F what)
    {
        for (const size_t i : some()) what(i);
    }

    void settle()
    {
        const bool held = cluster_.until(
            [&] {
                for (const auto& d : duties_)
                    if (!cluster_.checker.holder(d)) return false;
                return cluster_.leader().has_value();
            },
            seconds(15));
        if (!held) throw Failed{"the duties were not all held within 15 s"};
        cluster_.run(seconds(0.3));
    }
    void let()
    {
        const auto name = next();
        (void)next();  // "="
        names_[name] = who();
    }
    void disk()
    {
        const size_t i = who();
        const auto what = next();
        if (cluster_.up(i)) throw Failed{"its process is up"};
        if (what == "lost")
            cluster_.wipe(i);
        else if (what == "saved")
            cluster_.put_back(i);
        else if (what == "of")
            cluster_.swap_folder(i, who());
        else if (what == "torn")
            cluster_.tear(i, static_cast<size_t>(number()));
        else
            throw Failed{"no such disk"};
    }
    void files()
    {
        Control& c = cluster_.control(who());
        const auto what = next();
        const double rate = c.rate;
        if (what == "well")
            c = {}, c.rate = rate;
        else if (what == "slow")
            c.sync_ms = static_cast<int>(span().us / 1000);
        else if (what == "full")
            c.write_error = ENOSPC;
        else if (what == "broken")
            c.write_error = c.sync_error = EIO;
        else if (what == "short")
            c.short_writes = 1;
        else if (what == "read-only")
            c.read_only = 1;
        else if (what == "lying")
            c.sync_lost = 1;
        else
            throw Failed{"no such trouble of files"};
    }
    // "cut A B", "delay 2s", "delay 2s A B": one way; without names all roads.
    void road(const std::string& verb)
    {
        Duration delay;
        double rate = 0;
        if (verb == "delay") delay = span();
        if (verb == "rate") rate = number();
        const auto change = [&](size_t a, size_t b) {
            Road r = cluster_.road(a, b);
            if (verb == "cut") r.cut = true;
            if (verb == "hold") r.held = true;
            if (verb == "refuse") r.refused = true;
            if (verb == "delay") r.delay = delay;
            if (verb == "rate") r.rate = rate;
            cluster_.road_is(a, b, r);
        };
        if (more()) {
            const size_t a = who(), b = who();
            return change(a, b);
        }
        for (size_t a = 0; a < cluster_.size(); ++a)
            for (size_t b = 0; b < cluster_.size(); ++b)
                if (a != b) change(a, b);
    }
    void cut(size_t a, size_t b)
    {
        Road r = cluster_.road(a, b);
        r.cut = true;
        cluster_.road_is(a, b, r);
    }
    // "cut-off A": both ways; "cut-off A deaf": it hears nobody; "cut-off A mute": nobody hears it; "...
    // voters": these only.
    void cut_off()
    {
        const size_t a = who();
        bool deaf = true, mute = true, voters = false;
        while (more()) {
            const auto w = next();
            if (w == "deaf") mute = false;
            if (w == "mute") deaf = false;
            if (w == "voters") voters = true;
        }
        for (size_t b = 0; b < cluster_.size(); ++b) {
            if (a == b || (voters && b >= scenario_.plan.voters)) continue;
            if (mute) cut(a, b);
            if (deaf) cut(b, a);
        }
    }
    void split()
    {
        const auto side = some();
        const auto in = [&](size_t i) { return std::find(side.begin(), side.end(), i) != side.end(); };
        for (size_t a = 0; a < cluster_.size(); ++a)
            for (size_t b = 0; b < cluster_.size(); ++b)
                if (a != b && in(a) != in(b)) cut(a, b);
    }
    void flap()
    {
        const size_t a = who();
        const Duration every = span();
        const int times = static_cast<int>(number());
        for (int n = 0; n < times; ++n) {
            for (size_t b = 0; b < cluster_.size(); ++b)
                if (a != b) cut(a, b), cut(b, a);
            cluster_.run(every);
            cluster_.whole();
            cluster_.run(every);
        }
    }
    void bytes(const std::string& verb)
    {
        const size_t a = who();
        const auto spoil = [&](size_t b) {
            FaultProxy& r = cluster_.relay(a, b);
            if (verb == "change") r.change_next();
            if (verb == "repeat") r.repeat_next();
            if (verb == "tear") r.cut_within(7);
        };
        if (more()) return spoil(who());
        for (size_t b = 0; b < cluster_.size(); ++b)
            if (a != b) spoil(b);
    }
    void garbage()
    {
        const size_t i = who();
        cluster_.garbage(i, "GET / HTTP/1.1\r\n\r\n");
        cluster_.garbage(i, std::string(64, '\xff'));
        cluster_.garbage(i, std::string(24, '\0') + "x");
        cluster_.garbage(i, "x");
        cluster_.run(seconds(0.2));
    }
    // A line for the door, up to "->", with names as the processes know them; and what stands behind that.
    std::pair<std::string, std::string> line_for_door()
    {
        std::string line;
        while (more()) {
            const auto w = next();
            if (w == "->") return {line, rest()};
            const auto known = names_.find(w);
            line +=
                (line.empty() ? "" : " ") + (known == names_.end() ? w : TestCluster::id_of(known->second));
        }
        return {line, ""};
    }
    // "door A LINE -> START OF THE ANSWER"
    void door()
    {
        const size_t i = who();
        const auto [line, start] = line_for_door();
        const auto got = cluster_.ask(i, line, seconds(12));
        if (!got.starts_with(start)) throw Failed{"the door said: " + got.substr(0, got.find('\n'))};
    }
    // Asked, and not waited for.
    void door_later()
    {
        const size_t i = who();
        cluster_.ask_later(i, line_for_door().first, [](const std::string&) {});
        cluster_.run(seconds(0.01));
    }
    // "until-door A LINE 5s -> START": asked again and again
    void until_door()
    {
        const size_t i = who();
        auto [line, start] = line_for_door();
        const auto space = line.rfind(' ');
        const Duration most = to_span(line.substr(space + 1));
        line.resize(space);
        std::string got;
        if (!cluster_.until([&] { return (got = cluster_.ask(i, line)).starts_with(start); }, most))
            throw Failed{"the door never said " + start + ", but " + got};
    }
    // "served-by A... not U": none of a few requests goes there
    void served_by()
    {
        std::vector<size_t> from;
        for (auto w = next(); w != "not"; w = next()) {
            if (w != "all") {
                from.push_back(who(w));
                continue;
            }
            for (size_t i = 0; i < cluster_.size(); ++i)
                if (cluster_.up(i)) from.push_back(i);
        }
        const size_t upstream = std::strtoul(next().c_str() + 1, nullptr, 10) - 1;
        const auto before = cluster_.upstream(upstream).served();
        for (const size_t i : from)
            for (int n = 0; n < 6; ++n)
                if (cluster_.request(i) != 200) throw Failed{TestCluster::id_of(i) + " does not serve"};
        if (cluster_.upstream(upstream).served() != before)
            throw Failed{"some were served by " + words_.back()};
    }
    // "spread LEAST MOST within T": so many duties a process
    void spread()
    {
        const Duration most_wait = within();
        const auto least = static_cast<size_t>(number()), most = static_cast<size_t>(number());
        seen(
            [&] {
                std::map<std::string, size_t> loads;
                for (const auto& d : duties_)
                    if (const auto h = cluster_.checker.holder(d)) ++loads[*h];
                for (size_t i = 0; i < cluster_.size(); ++i)
                    if (const size_t n = loads[TestCluster::id_of(i)];
                        cluster_.up(i) && (n < least || n > most))
                        return false;
                return true;
            },
            most_wait, "duties are spread unevenly");
    }
    // One after the other, as operators do.
    void roll()
    {
        for (const size_t i : some()) {
            cluster_.kill(i, SIGTERM);
            cluster_.until([&] { return !cluster_.up(i); }, seconds(6));
            cluster_.start(i);
            cluster_.run(seconds(1));
        }
    }
    void discovery()
    {
        const auto what = next();
        if (what == "silent") return cluster_.discovery().silent(true);
        if (what == "speaks") return cluster_.discovery().silent(false);
        if (what == "empty" || what == "whole") return cluster_.discovery().empty(what == "empty");
        cluster_.discovery().state_is(next(), what);
    }

    void expect()
    {
        const auto what = next();
        const Duration most = within();
        if (what == "held") return held(next(), most);
        if (what == "holder") {
            const auto duty = next();
            const size_t i = who();
            return seen([&] { return cluster_.holder(duty) == i; }, most,
                        TestCluster::id_of(i) + " does not hold " + duty);
        }
        if (what == "leader")
            return seen([&] { return cluster_.leader().has_value(); }, most, "there is no leader");
        if (what == "serves") {
            for (const size_t i : some())
                seen([&] { return cluster_.request(i) == 200; }, most,
                     TestCluster::id_of(i) + " does not serve");
            return;
        }
        if (what == "exit") {
            const size_t i = who();
            const int status = static_cast<int>(number());
            return seen([&] { return cluster_.exit_status(i) == status; }, most,
                        TestCluster::id_of(i) + " did not end so");
        }
        if (what == "show" || what == "log") {
            const size_t i = who();
            const bool no = more() && words_[at_] == "no" && next() == "no";
            auto text = rest();
            if (text.starts_with(": ")) text.erase(0, 2);
            for (const auto& [name, m] : names_)
                for (size_t at; (at = text.find("{" + name + "}")) != std::string::npos;)
                    text.replace(at, name.size() + 2, TestCluster::id_of(m));
            const auto so = [&] {
                const auto all = what == "log" ? cluster_.log(i) : cluster_.ask(i, "show-fleet");
                return (all.find(text) != std::string::npos) != no;
            };
            return seen(
                so, most,
                "the " + what + " of " + TestCluster::id_of(i) + (no ? " has '" : " has no '") + text + "'");
        }
        if (what == "refused") {
            const auto least = static_cast<uint64_t>(number());
            return seen([&] { return cluster_.receiver().refused() >= least; }, most,
                        "the receiver refused fewer");
        }
        if (what == "probes") {
            const auto before = probes();
            cluster_.run(most);
            const double rate = static_cast<double>(probes() - before) / most.seconds();
            const double least = number(), greatest = number();
            if (rate < least || rate > greatest) throw Failed{std::to_string(rate) + " probes a second"};
            return;
        }
        if (what == "reached") {
            const auto name = next();
            const double least = number(), greatest = number();
            return expect_reached(name, most, least, greatest, more() ? number() : greatest);
        }
        if (what == "answers") {  // of what was sent: a part of them at least, with this status
            const auto status = static_cast<int>(number());
            const double least = number(), greatest = number();
            cluster_.answers.clear();
            cluster_.run(most);
            double sum = 0;
            for (const auto& [of, n] : cluster_.answers) sum += static_cast<double>(n);
            const double part = static_cast<double>(cluster_.answers[status]) / std::max(1.0, sum);
            if (part < least || part > greatest)
                throw Failed{std::to_string(part) + " of " + std::to_string(sum) + " answers"};
            return;
        }
        if (what == "calls") {
            const auto before = cluster_.discovery().calls();
            cluster_.run(most);
            const double rate = static_cast<double>(cluster_.discovery().calls() - before) / most.seconds();
            const double greatest = number();
            if (rate > greatest) throw Failed{std::to_string(rate) + " calls for lists a second"};
            return;
        }
        throw Failed{"no such expectation"};
    }
    uint64_t probes()
    {
        uint64_t n = 0;
        for (size_t i = 0; i < scenario_.plan.upstreams; ++i) n += cluster_.upstream(i).probes();
        return n;
    }
    void held(const std::string& which, Duration most)
    {
        seen(
            [&] {
                for (const auto& d : duties_)
                    if ((which == "all" || which == d) && !cluster_.checker.holder(d)) return false;
                return true;
            },
            most, which + " not held");
    }
    void seen(const std::function<bool()>& so, Duration most, const std::string& otherwise)
    {
        if (!cluster_.until(so, most)) throw Failed{otherwise};
    }

    const Scenario& scenario_;
    TestCluster& cluster_;
    std::unique_ptr<Flood> flood_;
    std::vector<std::string> duties_, words_;
    size_t at_ = 0;
    std::map<std::string, size_t> names_;
};

}  // namespace

std::variant<Scenario, ConfigError> decode_scenario(std::string_view text)
{
    try {
        const auto from = toml::parse(text);
        const TomlTable top(from, "",
                            {"name", "members", "voters", "duties", "upstreams", "lease", "drift", "shim",
                             "fleet", "more", "settings", "overlap", "steps"});
        Scenario s;
        s.name = top.string("name");
        s.plan.members = top.integer("members", 5, 1, 60);
        s.plan.voters = top.integer("voters", 3, 1, 7);
        s.plan.duties = top.integer("duties", 3, 0, 200);
        s.plan.upstreams = top.integer("upstreams", 2, 1, 40);
        if (top.has("lease")) s.plan.lease = top.string("lease");
        s.plan.drift = top.number("drift", 0.02, 0, 0.1);
        s.plan.shim = top.boolean("shim", false);
        s.plan.fleet = top.boolean("fleet", true);
        if (top.has("more")) s.plan.more = top.string("more");
        if (top.has("settings")) s.plan.settings = top.string("settings");
        s.overlap_allowed = top.boolean("overlap", false);
        const auto* steps = from["steps"].as_array();
        if (!steps) throw_config_error("steps", top.line("steps"), "an array of steps is expected");
        for (const auto& step : *steps) {
            const auto* line = step.as_string();
            if (!line) throw_config_error("steps", line_of(step), "a step is a text");
            s.steps.push_back(line->get());
        }
        return s;
    } catch (const toml::parse_error& e) {
        return ConfigError{{"TOML", static_cast<uint32_t>(e.source().begin.line)},
                           std::string(e.description())};
    } catch (const TomlConfigError& w) {
        return w.error;
    }
}

Scenario draw_scenario(uint64_t seed, size_t faults)
{
    std::ranlux24_base chance(static_cast<uint32_t>(seed * 2654435761u + 1));
    const auto pick = [&](size_t n) { return std::uniform_int_distribution<size_t>(0, n - 1)(chance); };
    Scenario s;
    s.name = "seed " + std::to_string(seed);
    s.plan.members = 5 + pick(3);
    s.plan.voters = pick(2) ? 3 : 5;
    s.plan.duties = 1 + pick(5);
    s.plan.shim = true;
    const auto any = [&] { return TestCluster::id_of(pick(s.plan.members)); };
    const auto voter = [&] { return TestCluster::id_of(pick(s.plan.voters)); };
    const auto ms = [&](size_t least, size_t most) {
        return std::to_string(least + pick(most - least)) + "ms";
    };
    s.steps = {"start all", "settle"};
    for (size_t n = 0; n < faults; ++n) {
        switch (pick(14)) {
            case 0: s.steps.push_back("kill " + any()); break;
            case 1:
            case 2: s.steps.push_back("start " + any()); break;
            case 3: s.steps.push_back("stop " + any()); break;
            case 4:
            case 5: s.steps.push_back("continue all"); break;
            case 6: s.steps.push_back("cut-off " + any()); break;
            case 7: s.steps.push_back("cut-off " + any() + (pick(2) ? " deaf" : " mute")); break;
            case 8: s.steps.push_back("whole"); break;
            case 9: s.steps.push_back("delay " + ms(1, 900)); break;
            case 10: s.steps.push_back("split " + any() + " " + any() + " " + any()); break;
            case 11: {
                const char* how[] = {"slow 400ms", "full", "broken", "short", "well", "well"};
                s.steps.push_back("files " + voter() + " " + how[pick(6)]);
                break;
            }
            case 12: s.steps.push_back("term " + any()); break;
            default: {
                const char* how[] = {"change ", "repeat ", "tear "};
                s.steps.push_back(how[pick(3)] + any());
            }
        }
        s.steps.push_back("wait " + ms(50, 1500));
    }
    s.steps.insert(s.steps.end(), {"whole", "continue all"});
    for (size_t i = 0; i < s.plan.members; ++i) s.steps.push_back("files " + TestCluster::id_of(i) + " well");
    s.steps.insert(s.steps.end(),
                   {"wait 3s", "start all", "expect leader within 10s", "expect held all within 10s"});
    return s;
}

Verdict play(const Scenario& scenario, const std::string& program, const std::string& shim, size_t slot)
{
    Verdict v;
    TestCluster cluster(scenario.plan, program, shim, slot);
    cluster.checker.overlap_allowed = scenario.overlap_allowed;
    Player player(scenario, cluster);
    for (const auto& step : scenario.steps) {
        try {
            player.play(step);
        } catch (const Failed& f) {
            v.wrong.push_back("at '" + step + "': " + f.what);
            for (size_t i = 0; i < cluster.size(); ++i)
                if (cluster.up(i))
                    v.logs += "-- shown by " + TestCluster::id_of(i) + "\n" + cluster.ask(i, "show-fleet");
            break;
        } catch (const std::exception& e) {
            v.wrong.push_back("at '" + step + "': " + e.what());
            break;
        }
    }
    for (auto& w : cluster.judge()) v.wrong.push_back(std::move(w));
    v.gaps = cluster.checker.gaps();
    v.accepted = cluster.checker.accepted();
    if (!v.wrong.empty())
        for (size_t i = 0; i < cluster.size(); ++i)
            v.logs += "-- " + TestCluster::id_of(i) + "\n" + cluster.log(i);
    return v;
}

}  // namespace firtide::fault_injection
