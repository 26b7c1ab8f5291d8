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
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>

DEFINE_string(program, "", "the HostServer to run");
DEFINE_string(directory, "", "directory for settings and logs of the processes, with a subdirectory for each seed");
DEFINE_string(seeds, "", "the seeds to run, separated by commas");
DEFINE_uint32(seconds, 8, "seconds during which faults begin");
DEFINE_uint32(faults, 14, "number of faults of a seed");
DEFINE_uint32(domains, 2, "number of failure domains");
DEFINE_uint32(hosts_per_domain, 2, "number of entry hosts in each failure domain");
DEFINE_uint32(engines, 5, "total number of engines");
DEFINE_uint32(plain_servers, 3, "number of backend servers of the plain service");
DEFINE_uint32(callers_per_host, 6, "number of callers of each entry host");

namespace Soak {

static constexpr Duration tick_period = 20ms;
/// Maximum wait for an event on the event loop between two checks of the clock.
static constexpr Duration loop_step = 10ms;
/// Caller seeds reserved for each seed of the soak; a usual run has fewer callers.
static constexpr u32 caller_seeds = 1000;
/// Timeouts that end a run that hangs; they check no promise.
static constexpr Duration start_timeout = 30s;
static constexpr Duration recovery_timeout = 40s;
static constexpr Duration drain_timeout = 40s;
static constexpr Duration stop_timeout = 30s;

/// The run of one seed: a deployment under load, its faults, its recovery and its planned stop.
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

    bool execute()
    {
        this->deployment.start();
        this->tick();
        if (!this->wait_until(
                [this] { return this->all_served_since_mark(); }, start_timeout, "all callers to be served"))
            return this->report();
        this->faults.start();
        this->run_for(std::chrono::seconds(FLAGS_seconds) + FaultSchedule::aftermath);
        this->faults.heal();
        for (auto& host : this->deployment.hosts)
            this->restart_if_down(*host);
        this->mark_served();
        this->wait_until(
            [this] { return this->all_served_since_mark(); }, recovery_timeout, "all hosts to serve again");
        this->stop_load();
        this->wait_until([this] { return this->engines_are_idle(); }, drain_timeout, "all engines to be idle");
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
    bool wait_until(Done done, Duration timeout, std::string const& what)
    {
        auto const deadline = Deployment::now() + timeout;
        while (!done()) {
            this->loop.run_one_for(loop_step);
            if (Deployment::now() < deadline)
                continue;
            this->checker.violation("timed out waiting for " + what);
            return false;
        }
        return true;
    }

    void restart_if_down(HostInstance& host)
    {
        // A process that was killed or is in a planned stop must exit before its next start.
        this->wait_until([&] { return !host.stopping_since || !host.daemon->is_running(); }, stop_timeout,
            "the exit of " + host.name);
        this->wait_until([&] { return !host.is_exit_expected || !host.daemon->is_running(); }, stop_timeout,
            "the exit of " + host.name);
        this->deployment.start_host(host);
    }

    void stop_load()
    {
        for (auto const& caller : this->callers)
            caller->stop();
        this->wait_until(
            [this] { return std::ranges::all_of(this->callers, [](auto const& caller) { return caller->is_idle(); }); },
            drain_timeout, "responses to all requests");
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
            stop_timeout, "the planned stop of all hosts");
    }

    void report_endings() const
    {
        std::cout << "seed " << this->seed << ": ends:";
        for (auto const& [ending, count] : this->checker.ending_counts())
            std::cout << ' ' << to_string(ending) << "=" << count;
        std::cout << std::endl;
    }

    /// No exception may end the handling of an event. A host that defers the removal of a server has to name what it
    /// waits for.
    void check_logs()
    {
        for (auto const& host : this->deployment.hosts) {
            std::ifstream log(host->daemon->log_file());
            for (std::string line; std::getline(log, line);) {
                if (line.find("event=E1010 ") != std::string::npos)
                    this->checker.violation(host->name + " ended the handling of an event: " + line);
                bool const is_deferral = line.find("event=E2321 ") != std::string::npos;
                if (is_deferral && line.find(" reason=none ") != std::string::npos)
                    this->checker.violation(host->name + " deferred a removal for no reason: " + line);
            }
        }
    }

    bool report()
    {
        this->checker.finish(this->deployment.runs());
        this->check_logs();
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
        std::cerr << "--program, --directory and --seeds are required; see --help" << std::endl;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::istringstream seeds(FLAGS_seeds);
    std::string seed;
    bool all_succeeded = true;
    while (std::getline(seeds, seed, ',')) {
        std::cout << "seed " << seed << ':' << std::endl;
        all_succeeded = Soak::Run(static_cast<u32>(std::stoul(seed))).execute() && all_succeeded;
    }
    return all_succeeded ? 0 : 1;
}
