/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <AK/Timer.h>
#include <Tests/Soak/BackgroundFaults.h>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>

namespace Soak {

/// Stalls last about as long as the hosts' idle timeout, so that a stalled host finds expired timers and callers'
/// requests waiting together.
static constexpr Duration min_stall = idle_timeout / 2;
static constexpr Duration max_stall = idle_timeout * 3 / 2;
/// Time between the starts of two faults of one kind. With four hosts, each one stalls about every 3.6 s (computed).
static constexpr Duration min_fault_interval = 300ms;
static constexpr Duration max_fault_interval = 1500ms;
/// For how long backend servers reject all requests, and the back-off that they request. One time in
/// `whole_service_odds`, all servers of the service do so.
static constexpr Duration min_rejection_time = 100ms;
static constexpr Duration max_rejection_time = 500ms;
static constexpr Duration min_back_off = 1s;
static constexpr Duration max_back_off = 6s;
static constexpr u32 whole_service_odds = 6;
/// Time between two stray responses of a server. Plain calls take a few milliseconds, so that few of the responses find
/// a request.
static constexpr Duration min_stray_interval = 5ms;
static constexpr Duration max_stray_interval = 25ms;

u32 draw_below(boost::random::mt19937& random, u32 below)
{
    return boost::random::uniform_int_distribution<u32>(0, below - 1)(random);
}

Duration draw_between(boost::random::mt19937& random, Duration min, Duration max)
{
    boost::random::uniform_int_distribution<i64> milliseconds(AK::to_milliseconds(min), AK::to_milliseconds(max));
    return std::chrono::milliseconds(milliseconds(random));
}

BackgroundFaults::BackgroundFaults(Http::asio::io_context& loop, Deployment& deployment, u32 seed)
    : loop(loop)
    , deployment(deployment)
    , stall_random(~seed)
    , entry_random(seed ^ 0x5eed)
    , limit_random(seed ^ 0x11317)
    , back_off_random(seed ^ 0xbac0ff)
    , stray_random(seed ^ 0x57a4)
{
}

void BackgroundFaults::start()
{
    this->stall_hosts();
    this->corrupt_entries();
    this->advertise_limits();
    this->request_back_off();
    this->send_stray_responses();
}

void BackgroundFaults::end()
{
    this->is_over = true;
    this->restore_entry();
    if (this->limited_server)
        Deployment::withdraw_limit(*this->limited_server);
    for (auto& instance : this->deployment.runners)
        Deployment::accept_again(instance);
}

void BackgroundFaults::after(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<AK::Timer>(this->loop, delay);
    timer->async_wait([this, timer, action = std::move(action)](boost::system::error_code error) {
        if (!error && !this->is_over)
            action();
    });
}

void BackgroundFaults::stall_hosts()
{
    auto& hosts = this->deployment.hosts;
    auto const number = draw_below(this->stall_random, static_cast<u32>(hosts.size()));
    auto const duration = draw_between(this->stall_random, min_stall, max_stall);
    this->deployment.freeze_host(*hosts.at(number), duration);
    this->after(
        draw_between(this->stall_random, min_fault_interval, max_fault_interval), [this] { this->stall_hosts(); });
}

void BackgroundFaults::corrupt_entries()
{
    static std::string const deeply_nested(30'000, '[');
    static std::array<std::string_view, 9> const values { "", "no entry", R"({"service":"models"})", deeply_nested,
        R"({"service":"models","addr":"127.0.0.1:18446744073709551617","zone":"z","slots":8,"state":"ready","cold_left_ms":0})",
        R"({"service":"models","addr":"127.0.0.1:99","zone":"z","slots":1e999,"state":"ready","cold_left_ms":1e999})",
        R"({"service":7,"addr":[],"zone":null,"slots":1e300,"state":"ready","cold_left_ms":-1,"born":1.5})",
        R"({"service":"models","addr":"nowhere","zone":"","slots":0,"state":"resting","cold_left_ms":0})", "\xff\xfe" };
    this->restore_entry();
    std::vector<RunnerInstance*> running;
    for (auto& instance : this->deployment.runners) {
        if (!instance.is_terminated && !instance.leaving_since)
            running.push_back(&instance);
    }
    auto const value = values.at(draw_below(this->entry_random, values.size()));
    if (!running.empty()) {
        this->corrupted_server = running.at(draw_below(this->entry_random, static_cast<u32>(running.size())));
        this->deployment.put_entry(*this->corrupted_server, std::string(value));
    }
    this->after(
        draw_between(this->entry_random, min_fault_interval, max_fault_interval), [this] { this->corrupt_entries(); });
}

void BackgroundFaults::restore_entry()
{
    auto* instance = std::exchange(this->corrupted_server, nullptr);
    if (instance && !instance->is_terminated && !instance->leaving_since)
        this->deployment.put_row(*instance);
}

void BackgroundFaults::advertise_limits()
{
    constexpr u32 min_rate = 1;
    constexpr u32 rate_count = 2;
    bool const is_limited_server_leaving
        = this->limited_server && (this->limited_server->is_terminated || this->limited_server->leaving_since);
    auto const serving = this->deployment.serving(plain_service);
    if ((!this->limited_server || is_limited_server_leaving) && serving.size() >= min_serving) {
        this->limited_server = serving.at(draw_below(this->limit_random, static_cast<u32>(serving.size())));
        Deployment::advertise_limit(*this->limited_server, min_rate + draw_below(this->limit_random, rate_count));
    }
    this->after(min_fault_interval, [this] { this->advertise_limits(); });
}

void BackgroundFaults::request_back_off()
{
    auto const* service = draw_below(this->back_off_random, 2) == 0 ? plain_service : engine_service;
    auto rejecting = this->deployment.serving(service);
    bool const all_reject = draw_below(this->back_off_random, whole_service_odds) == 0;
    if (!all_reject && !rejecting.empty())
        rejecting = { rejecting.at(draw_below(this->back_off_random, static_cast<u32>(rejecting.size()))) };
    for (auto* instance : rejecting) {
        this->deployment.reject_all(*instance, draw_between(this->back_off_random, min_back_off, max_back_off));
        this->after(draw_between(this->back_off_random, min_rejection_time, max_rejection_time),
            [instance] { Deployment::accept_again(*instance); });
    }
    this->after(draw_between(this->back_off_random, min_fault_interval, max_fault_interval),
        [this] { this->request_back_off(); });
}

void BackgroundFaults::send_stray_responses()
{
    static constexpr std::array<std::string_view, 5> heads { "503 Odd\r\nLilactiller-Not-Executed: 1",
        "400 Odd\r\nLilactiller-Not-Executed: 1", "421 Odd", "200 Odd\r\nLilactiller-Response-Stamp: s",
        "503 Odd\r\nLilactiller-Response-Stamp: s" };
    auto const head = heads.at(draw_below(this->stray_random, heads.size()));
    for (auto* instance : this->deployment.serving(plain_service))
        instance->link->send_stray_response("HTTP/1.1 " + std::string(head) + "\r\nContent-Length: 3\r\n\r\nodd");
    this->after(draw_between(this->stray_random, min_stray_interval, max_stray_interval),
        [this] { this->send_stray_responses(); });
}

}
