/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/Soak/Caller.h>
#include <Tests/Soak/FaultSchedule.h>
#include <csignal>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(program, "", "the HostServer to be run");
DEFINE_string(directory, "", "where settings and logs of the processes go, a directory for each seed");
DEFINE_string(seeds, "", "the seeds to be run, as numbers separated by commas");
DEFINE_uint32(seconds, 8, "how long faults are begun");
DEFINE_uint32(faults, 14, "faults of a seed");
DEFINE_uint32(domains, 2, "failure domains");
DEFINE_uint32(hosts_per_domain, 2, "entry hosts of each failure domain");
DEFINE_uint32(engines, 5, "engines in all");
DEFINE_uint32(plain_servers, 3, "backend servers of the plain service");
DEFINE_uint32(callers_per_host, 6, "callers of each entry host");

namespace Soak {

static constexpr Duration tick_period = 20ms;
/// The longest wait for something to do on the loop between two looks at the clock.
static constexpr Duration loop_step = 10ms;
/// Seeds of callers for each seed of the soak: more than a usual run has callers.
static constexpr u32 caller_seeds = 1000;
/// Bounds on waiting; they end a run that hangs, and measure nothing.
static constexpr Duration start_patience = 30s;
static constexpr Duration recovery_patience = 40s;
static constexpr Duration drain_patience = 40s;
static constexpr Duration stop_patience = 30s;

/// One seed: a deployment under load, its faults, its recovery, and its planned end.
class Run {
public:
    explicit Run(u32 seed)
        : seed(seed)
        , deployment(this->loop, this->checker,
              { FLAGS_domains, FLAGS_hosts_per_domain, FLAGS_engines, FLAGS_plain_servers }, FLAGS_program,
              FLAGS_directory + "/seed-" + std::to_string(seed))
        , faults(this->loop, this->deployment, seed, FLAGS_faults, std::chrono::seconds(FLAGS_seconds))
        , tick_timer(this->loop)
    {
    }

    bool play()
    {
        this->deployment.start();
        this->tick();
        if (!this->wait_until([this] { return this->all_served_since_mark(); }, start_patience, "the start"))
            return this->report();
        this->faults.start();
        this->run_for(std::chrono::seconds(FLAGS_seconds) + FaultSchedule::aftermath);
        this->faults.heal();
        for (auto& host : this->deployment.hosts)
            this->restart_if_down(*host);
        this->mark_served();
        this->wait_until(
            [this] { return this->all_served_since_mark(); }, recovery_patience, "all hosts serving again");
        this->stop_load();
        this->wait_until([this] { return this->engines_are_idle(); }, drain_patience, "an end of all work at engines");
        this->stop_hosts();
        return this->report();
    }

private:
    void tick()
    {
        this->deployment.tick();
        this->tick_timer.expires_after(tick_period);
        this->tick_timer.async_wait([this](boost::system::error_code error) {
            if (!error)
                this->tick();
        });
        if (this->callers.empty())
            this->start_load();
    }

    void start_load()
    {
        for (auto& host : this->deployment.hosts) {
            for (u32 i = 0; i < FLAGS_callers_per_host; ++i) {
                auto name = host->name + "-caller-" + std::to_string(i);
                auto& caller = this->callers.emplace_back(std::make_shared<Caller>(this->loop, this->deployment,
                    this->checker, *host, name, this->seed * caller_seeds + static_cast<u32>(this->callers.size())));
                if (i == 0)
                    caller->send_slowly();
                caller->start();
            }
        }
        this->mark_served();
    }

    void mark_served()
    {
        this->served_before.clear();
        for (auto const& caller : this->callers)
            this->served_before.push_back(caller->served());
    }

    [[nodiscard]] bool all_served_since_mark() const
    {
        for (size_t i = 0; i < this->callers.size(); ++i) {
            if (this->callers[i]->served() == this->served_before[i])
                return false;
        }
        return !this->callers.empty();
    }

    void run_for(Duration duration)
    {
        auto const end = Deployment::now() + duration;
        while (Deployment::now() < end)
            this->loop.run_one_for(loop_step);
    }

    template<typename Done>
    bool wait_until(Done done, Duration patience, std::string const& what)
    {
        auto const give_up_at = Deployment::now() + patience;
        while (!done()) {
            this->loop.run_one_for(loop_step);
            if (Deployment::now() < give_up_at)
                continue;
            this->checker.violation("waited in vain for " + what);
            return false;
        }
        return true;
    }

    void restart_if_down(HostInstance& host)
    {
        // A process whose planned stop is under way ends first.
        this->wait_until([&] { return !host.stopping_since || !host.daemon->is_running(); }, stop_patience,
            "the end of " + host.name);
        this->wait_until([&] { return !host.is_exit_expected || !host.daemon->is_running(); }, stop_patience,
            "the end of " + host.name);
        this->deployment.start_host(host);
    }

    void stop_load()
    {
        for (auto const& caller : this->callers)
            caller->stop();
        this->wait_until(
            [this] { return std::ranges::all_of(this->callers, [](auto const& caller) { return caller->is_idle(); }); },
            drain_patience, "answers to all requests");
    }

    [[nodiscard]] bool engines_are_idle() const
    {
        return std::ranges::all_of(this->deployment.runners,
            [](auto const& instance) { return instance.is_terminated || instance.runner->running_count() == 0; });
    }

    void stop_hosts()
    {
        for (auto& host : this->deployment.hosts)
            this->deployment.stop_host(*host);
        this->wait_until(
            [this] {
                return std::ranges::none_of(
                    this->deployment.hosts, [](auto const& host) { return host->daemon->is_running(); });
            },
            stop_patience, "the planned end of all hosts");
    }

    void report_endings() const
    {
        std::cout << "seed " << this->seed << ": ends:";
        for (auto const& [ending, count] : this->checker.ending_counts())
            std::cout << ' ' << to_string(ending) << "=" << count;
        std::cout << std::endl;
    }

    bool report()
    {
        this->checker.finish(this->deployment.runs());
        this->report_endings();
        std::cout << "seed " << this->seed << ": answers by status:";
        for (auto const& [status, count] : this->checker.counts())
            std::cout << ' ' << status << "=" << count;
        std::cout << ", versions of the configuration: " << this->deployment.configuration.version()
                  << ", violations: " << this->checker.violations().size() << std::endl;
        for (auto const& violation : this->checker.violations())
            std::cout << "  VIOLATION " << violation << std::endl;
        return this->checker.violations().empty();
    }

    u32 seed;
    Http::asio::io_context loop;
    PromiseChecker checker;
    Deployment deployment;
    FaultSchedule faults;
    AK::Timer tick_timer;
    std::vector<std::shared_ptr<Caller>> callers;
    std::vector<u32> served_before;
};

}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("Runs HostServers under load and faults drawn from seeds, and checks the promises.\n\n"
                            "  soak --program HostServer --directory DIRECTORY --seeds 1,2,3");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_program.empty() || FLAGS_directory.empty() || FLAGS_seeds.empty()) {
        std::cerr << "give --program, --directory and --seeds; see --help" << std::endl;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::istringstream seeds(FLAGS_seeds);
    std::string seed;
    bool all_kept = true;
    while (std::getline(seeds, seed, ',')) {
        std::cout << "seed " << seed << ':' << std::endl;
        all_kept = Soak::Run(static_cast<u32>(std::stoul(seed))).play() && all_kept;
    }
    return all_kept ? 0 : 1;
}
