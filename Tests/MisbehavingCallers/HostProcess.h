/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <Tests/MisbehavingCallers/CrowdCaller.h>
#include <Tests/MisbehavingCallers/ReceiveQueues.h>
#include <Tests/Platform/HostFixture.h>
#include <Tests/Soak/Daemon.h>
#include <filesystem>
#include <fstream>

namespace Test {

/// A HostServer as a process of its own, on loopback, with little memory and small limits. Its store, its backend
/// servers and all callers run on the event loop of the test.
class HostProcess {
public:
    /// That the process may use, by its settings: the smallest machine of the smallest deployment has twice as much.
    static constexpr u64 memory_megabytes = 48;
    static constexpr size_t max_head_bytes = 16'384;
    static constexpr size_t max_body_bytes = 1 << 20;

    HostProcess()
    {
        this->put_configuration();
        this->write_settings();
        for (auto const* id : { "lane-1", "lane-2", "lane-3", "lane-4" })
            this->platform.add_runner(id, "lanes");
        this->platform.add_runner("tariff-1", "tariffs");
        this->daemon.start();
        this->until([this] { return this->is_ready(); });
        this->idle_descriptors = this->descriptor_count();
    }
    ~HostProcess()
    {
        if (std::uncaught_exceptions() == 0)
            std::filesystem::remove_all(this->directory);
    }

    /// Lets `count` callers send `bytes` to `endpoint`, until each of them has sent everything or was turned away, and
    /// the host has read everything that has arrived.
    void gather(
        size_t count, Http::tcp::endpoint const& endpoint, std::function<CallerBytes(size_t number)> const& bytes)
    {
        for (size_t i = 0; i < count; ++i) {
            auto caller = std::make_shared<CrowdCaller>(this->platform.loop, bytes(this->crowd.size()));
            this->crowd.push_back(caller);
            caller->start(endpoint);
        }
        this->until([&] { return this->is_crowd_settled() && unread_bytes_at(endpoint) == 0; });
    }

    [[nodiscard]] bool is_crowd_settled() const
    {
        return std::ranges::all_of(this->crowd, [](auto const& caller) { return caller->is_settled(); });
    }

    void dismiss_crowd()
    {
        for (auto const& caller : this->crowd)
            caller->leave();
    }

    /// Checks what holds whatever the crowd sends: the process lives, and its memory and descriptors stay within their
    /// bounds. While the crowd is there and after it has left, an ordinary request is answered.
    void check_that_host_withstands_crowd()
    {
        CHECK(this->ordinary_status() == 200);
        CHECK(this->descriptor_count() <= this->idle_descriptors + this->crowd.size() + max_further_descriptors);
        this->dismiss_crowd();
        CHECK(this->ordinary_status() == 200);
        CHECK_FALSE(this->daemon.reap().has_value());
        CHECK(this->peak_resident_megabytes() <= static_cast<double>(memory_megabytes));
    }

    /// Checks that a status which promises that a request has not run is true, and that no refused request has run.
    void check_refusals()
    {
        for (size_t number = 0; number < this->crowd.size(); ++number) {
            auto const status = this->crowd[number]->status();
            INFO("caller " << number << " got status " << status);
            bool const is_refused = status >= 400 && status < 500;
            if (is_refused || status == 503)
                CHECK_FALSE(this->has_run(attempt_of(number)));
        }
    }
    [[nodiscard]] bool has_run(std::string const& attempt) const
    {
        return std::ranges::any_of(
            this->platform.runners, [&](auto const& runner) { return runner.runs().contains(attempt); });
    }
    [[nodiscard]] bool crowd_has_run() const
    {
        for (size_t number = 0; number < this->crowd.size(); ++number) {
            if (this->has_run(attempt_of(number)))
                return true;
        }
        return false;
    }

    static std::string attempt_of(size_t crowd_number) { return "crowd-" + std::to_string(crowd_number); }
    /// A head for a request with a body, to which `framing` adds the field that frames it.
    static std::string head_of(std::string const& attempt, std::string const& framing)
    {
        return "POST /uploads/1 HTTP/1.1\r\nHost: tolls.example\r\nApi-Key: plaza-key\r\nLilactiller-Attempt-Id: "
            + attempt + "\r\n" + framing + "\r\n\r\n";
    }
    static std::string chunked_head_of(std::string const& attempt)
    {
        return head_of(attempt, "Transfer-Encoding: chunked");
    }

    /// Status of an ordinary request on a new connection; 0 if it got no response.
    unsigned ordinary_status()
    {
        auto request = HostFixture::request("/tariff/1", "ordinary-" + std::to_string(++this->ordinary_requests));
        request.set("Lilactiller-Deadline-Ms", std::to_string(timeout_ms));
        auto const call = this->platform.send(std::move(request), this->platform.callers_endpoint);
        this->until([&] { return call->is_over(); });
        return call->end == Http::ExchangeEnd::Complete ? call->status : 0;
    }

    /// Runs the event loop until `done` returns true. The limit only ends a test that hangs.
    template<typename Done>
    void until(Done done)
    {
        auto const deadline = AK::BootClock::now() + 4min;
        while (!done()) {
            this->platform.loop.restart();
            this->platform.loop.run_one_for(10ms);
            REQUIRE(AK::BootClock::now() < deadline);
        }
    }

    /// Largest resident memory of the process so far, in millions of bytes.
    [[nodiscard]] double peak_resident_megabytes() const
    {
        constexpr std::string_view field = "VmHWM:";
        constexpr double bytes_per_kilobyte = 1024;
        constexpr double bytes_per_megabyte = 1e6;
        std::ifstream status(this->process_directory() / "status");
        for (std::string line; std::getline(status, line);) {
            if (line.starts_with(field))
                return std::stod(line.substr(field.size())) * bytes_per_kilobyte / bytes_per_megabyte;
        }
        throw std::runtime_error("the resident memory of the host is not known; is the process running?");
    }
    /// Number of descriptors that the process has open.
    [[nodiscard]] size_t descriptor_count() const
    {
        std::filesystem::directory_iterator const descriptors(this->process_directory() / "fd");
        return static_cast<size_t>(std::distance(begin(descriptors), end(descriptors)));
    }

    [[nodiscard]] bool log_has(std::string const& text) const
    {
        std::ifstream log(this->daemon.log_file());
        std::string const lines((std::istreambuf_iterator<char>(log)), {});
        return lines.find(text) != std::string::npos;
    }

    /// Where the host listens for others than callers.
    [[nodiscard]] std::vector<Http::tcp::endpoint> other_endpoints() const
    {
        return { this->platform.readiness_endpoint, this->platform.metrics_endpoint, this->platform.peer_endpoint };
    }

    HostFixture platform;
    std::vector<std::shared_ptr<CrowdCaller>> crowd;

private:
    /// Longer than any test takes, so that no request ends because the machine is slow.
    static constexpr u64 timeout_ms = 240'000;
    /// For the host's connections to the store and to backend servers, and for ordinary callers.
    static constexpr size_t max_further_descriptors = 64;

    static std::string route(std::string const& name, std::string const& service)
    {
        return R"({"name":")" + name + R"(","host":"tolls.example","path_prefix":"/)" + name
            + R"(/","kind":"unsafe","timeout_ms":)" + std::to_string(timeout_ms)
            + R"(,"goal_ms":300,"priority":1,"service":")" + service + R"(","max_attempts":1,"public":false})";
    }
    static std::string service(std::string const& name)
    {
        return R"({"name":")" + name + R"(","health_path":"/health","max_conns":200})";
    }

    void put_configuration()
    {
        auto const timeout = std::to_string(timeout_ms);
        this->platform.store.put("op", "config",
            R"({"version":7,"routes":[)" + route("uploads", "lanes") + ',' + route("tariff", "tariffs")
                + R"(],"services":[)" + service("lanes") + ',' + service("tariffs")
                + R"(],"limits":{"max_header_bytes":)" + std::to_string(max_head_bytes) + R"(,"max_body_bytes":)"
                + std::to_string(max_body_bytes) + R"(,"header_timeout_ms":)" + timeout + R"(,"idle_timeout_ms":)"
                + timeout + R"(},"tenants":[{"name":"plaza","api_keys":["plaza-key"],"priority":1}]})");
    }

    void write_settings() const
    {
        auto const settings = this->platform.settings();
        std::ofstream file(this->settings_path());
        file << "host:\n  name: host-1\n  failure_domain: hall-a\n  callers_listen: " << settings.callers_listen
             << "\n  readiness_listen: " << settings.readiness_listen
             << "\n  metrics_listen: " << *settings.metrics_listen << "\n  peer_listen: " << settings.peer_listen
             << "\n  platform: " << settings.platform << "\n  memory_megabytes: " << memory_megabytes << '\n';
    }
    [[nodiscard]] std::filesystem::path settings_path() const { return this->directory / "host.yaml"; }
    [[nodiscard]] std::filesystem::path process_directory() const
    {
        return "/proc/" + std::to_string(this->daemon.id());
    }

    bool is_ready()
    {
        REQUIRE_FALSE(this->daemon.reap().has_value());
        auto const call = this->platform.send(
            Http::Request(Http::Verb::get, "/ready", Http::http_1_1), this->platform.readiness_endpoint);
        this->until([&] { return call->is_over(); });
        return call->status == 200;
    }

    static std::filesystem::path make_directory()
    {
        auto name = (std::filesystem::temp_directory_path() / "misbehaving-callers-XXXXXX").string();
        if (!::mkdtemp(name.data()))
            throw std::runtime_error("no temporary folder can be made at " + name);
        return name;
    }

    std::filesystem::path directory { make_directory() };
    Soak::Daemon daemon { HOST_SERVER, this->settings_path().string(), (this->directory / "host.log").string() };
    size_t idle_descriptors { 0 };
    u32 ordinary_requests { 0 };
};

}
