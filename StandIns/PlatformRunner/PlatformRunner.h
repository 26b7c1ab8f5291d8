/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibHttp/CallerServer.h>
#include <boost/json.hpp>
#include <deque>
#include <map>
#include <optional>

namespace StandIns {

/// Simulates one of the platform's runners: a plain service, or an engine whose generations can be copied to another
/// engine and continue there. Runs on its owner's event loop; the owner decides when events are produced.
class PlatformRunner {
public:
    /// Maximum number of concurrent requests, as its row states. Operators' configurations for it use the same value.
    static constexpr u32 slots = 8;
    /// Capacity of an engine's memory in tokens, as returned by /report.
    static constexpr u32 kv_tokens = 30'000;

    /// A fault that is applied to one request.
    enum class Fault : u8 {
        /// Refuses the request and reports that it has not run.
        NotRun,
        /// Responds as if the address belonged to another runner.
        Misdirected,
        /// Runs the request, then closes the connection without a response.
        LoseResponse,
        /// Runs the request, then responds with a failure.
        Fail,
        /// Runs the request, then responds without a signature.
        Unsigned,
        /// Runs the request, then responds with 503 (Service Unavailable), without a signature and without reporting
        /// that it has not run.
        UnsignedUnavailable,
        /// The same with 404 (Not Found).
        UnsignedNotFound,
        /// Runs the request and never responds.
        Hang,
    };

    /// What an engine does with an order for the last copy of a run in place of carrying it out and responding.
    enum class OrderFault : u8 {
        /// Responds with 500 (Internal Server Error); the run goes on.
        Fail,
        /// Stops the run, and then responds with 500.
        FailAfterStop,
        /// Responds with 503 (Service Unavailable) without naming a copy; the run goes on.
        Unavailable,
        /// Responds with 200 (OK) and a body that is none; the run goes on.
        Nonsense,
        /// Closes the connection of the order without a response; the run goes on.
        Drop,
        /// Stops the run, and then closes the connection of the order without a response.
        DropAfterStop,
        /// Responds with 409 (Conflict); the run goes on.
        Busy,
        /// Never responds; the run goes on.
        Hang,
        /// Stops the run and never responds.
        HangAfterStop,
        /// Fails the order, and cuts the stream of the run, which goes on.
        FailAndCutStream,
    };

    /// A request as it was received.
    struct Received {
        std::string attempt;
        std::string target;
        std::string body;
        std::map<std::string, std::string> headers;
    };

    PlatformRunner(Http::asio::io_context&, Http::tcp::endpoint, std::string id);

    void add_fault(Fault fault) { this->faults.push_back(fault); }
    /// Applied to one order for a last copy, after those added before.
    void add_order_fault(OrderFault fault) { this->order_faults.push_back(fault); }
    /// Whether generations go on although their connection was closed. Most engines drop them.
    void keep_running_after_disconnect(bool enabled) { this->keeps_running = enabled; }
    /// Closes the connection of a generation that runs here. It goes on if keep_running_after_disconnect() is set.
    void cut_stream(std::string const& attempt);
    /// Number of orders for a last copy.
    [[nodiscard]] u32 last_copy_orders() const { return this->ordered_last_copies; }
    /// Produces the next event of every generation that runs here, and ends those that have reached `planned_events`.
    void make_events();
    /// Completes every generation that runs here.
    void finish_all();
    /// Completes the generation of this attempt, if it runs here.
    void finish(std::string const& attempt);
    /// Returns the total number of events of a generation. If unset, generations only end through finish_all().
    std::function<u64(std::string const& attempt)> planned_events;
    /// Called for each request addressed to this runner, before it runs or is refused.
    std::function<void(Received const&)> on_received;
    /// Sets the address that is advertised to hosts and other engines, if it differs from the listening address.
    void set_advertised_address(std::string address) { this->advertised_address = std::move(address); }
    /// Requests with this body terminate the simulated process as soon as they run.
    void set_fatal_body(std::string body) { this->fatal_body = std::move(body); }
    /// Generations with this part in their prompt, unless it is the last one, terminate the simulated process as soon
    /// as they run.
    void set_fatal_prompt_part(std::string part) { this->fatal_prompt_part = std::move(part); }
    /// Sets the limit, in requests per second from all hosts together, that its responses state. Empty for no limit.
    void set_limit(std::optional<std::string> per_second) { this->limit = std::move(per_second); }
    /// While `retry_after` is set, rejects every request as not run and asks the sender to back off, with `retry_after`
    /// as the value of Retry-After.
    void reject_requests(std::optional<std::string> retry_after) { this->back_off = std::move(retry_after); }
    /// Called for each request that is rejected because of reject_requests().
    std::function<void(Received const&)> on_rejected;
    /// Sets whether all its responses announce that it is leaving.
    void announce_leaving(bool enabled) { this->announces_leaving = enabled; }
    [[nodiscard]] bool is_announcing_leaving() const { return this->announces_leaving; }
    /// Sets the delay before a plain response is sent.
    void set_work_time(Duration duration) { this->work_time = duration; }
    /// Closes every connection and accepts no more, as a terminated process does.
    void terminate();
    /// Delivers a copy to its target engine. Real engines send copies to each other directly; here the owner does it.
    /// Returns false if the target is unreachable, in which case the copy is refused.
    std::function<bool(std::string const& target_address, std::string const& handle, u64 events_made)> on_copy;
    /// Stores a copy that another engine made after `events_made` events. Returns false after terminate().
    bool receive_copy(std::string const& handle, u64 events_made)
    {
        if (this->terminated)
            return false;
        this->copies[handle] = events_made;
        return true;
    }
    /// Sets the start time of the simulated process in Unix milliseconds, which its row and /report state.
    void set_start(i64 milliseconds) { this->start = milliseconds; }
    /// Sets the software version that its row states.
    void set_version(std::string text) { this->version = std::move(text); }
    /// Sets the time until it leaves, as returned by /report. Empty if it is not leaving.
    void set_leaves_in(std::optional<u64> milliseconds) { this->leaves_in = milliseconds; }

    [[nodiscard]] bool is_terminated() const { return this->terminated; }
    [[nodiscard]] std::vector<Received> const& received() const { return this->requests; }
    /// Attempts whose memory a host ordered to be copied, in the order of the requests.
    [[nodiscard]] std::vector<std::string> const& copy_orders() const { return this->ordered_copies; }
    /// Number of runs here, by attempt.
    [[nodiscard]] std::map<std::string, u32> const& runs() const { return this->run_counts; }
    [[nodiscard]] bool is_running(std::string const& attempt) const { return this->generations.contains(attempt); }
    /// Attempts of the generations that are running here.
    [[nodiscard]] std::vector<std::string> running() const;
    [[nodiscard]] size_t running_count() const { return this->generations.size(); }
    /// As "ip:port".
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::string const& id() const { return this->name; }
    /// Number of generations and hanging requests whose connection was closed before they completed.
    [[nodiscard]] u32 dropped_count() const { return this->dropped; }

    /// The value, in JSON, of the row that a runner publishes about itself; `zone` is its failure domain.
    [[nodiscard]] std::string row(std::string const& service, std::string const& zone, bool is_draining = false) const;

private:
    struct Generation {
        std::shared_ptr<Http::Exchange> exchange;
        u64 events_made { 0 };
    };

    void handle_request(std::shared_ptr<Http::Exchange> const&);
    void record_request(Http::Exchange const&);
    void count_run(Http::Request const&);
    bool carry_out_fault(std::shared_ptr<Http::Exchange> const&);
    [[nodiscard]] Http::Response refusal(Http::Request const&) const;
    /// Sets the header that announces that the runner is leaving, if it is.
    void set_leaving_header(Http::Response&) const;
    [[nodiscard]] bool has_fatal_part(Http::Request const&) const;
    void run(std::shared_ptr<Http::Exchange> const&);
    /// Removes the copy that the request resumes from. Returns the number of events produced before it (0 without a
    /// copy), or nothing if the copy is not here.
    std::optional<u64> consume_copy(Http::Request const&);
    void begin_generation(std::shared_ptr<Http::Exchange> const&, u64 events_before);
    void terminate_during(std::shared_ptr<Http::Exchange> const&);
    void copy(std::shared_ptr<Http::Exchange> const&);
    /// Stops the run of a generation, as the order for its last copy demands.
    void stop(std::string const& attempt);
    void carry_out_order_fault(OrderFault, std::shared_ptr<Http::Exchange> const&, std::string const& attempt);
    void send_report(Http::Exchange&);
    void send_plain_response(std::shared_ptr<Http::Exchange> const&, Http::Response);
    Http::Response signed_response(Http::Request const&, Http::Status) const;

    Http::asio::io_context& loop;
    std::string name;
    Http::tcp::endpoint endpoint;
    std::string advertised_address;
    Duration work_time { 0 };
    std::deque<Fault> faults;
    std::deque<OrderFault> order_faults;
    bool keeps_running { false };
    u32 ordered_last_copies { 0 };
    std::vector<Received> requests;
    std::map<std::string, u32> run_counts;
    std::map<std::string, Generation> generations;
    /// The number of events at the time of the copy, by handle, for copies that this runner received.
    std::map<std::string, u64> copies;
    bool terminated { false };
    std::string version { "v1" };
    std::optional<std::string> fatal_body;
    std::string fatal_prompt_part;
    /// A fatal request has begun to run.
    bool is_terminating { false };
    std::optional<std::string> limit;
    std::optional<std::string> back_off;
    bool announces_leaving { false };
    i64 start { 1'790'000'000'000 };
    std::vector<std::string> ordered_copies;
    std::optional<u64> leaves_in;
    u32 dropped { 0 };
    std::vector<std::shared_ptr<Http::Exchange>> hanging;
    std::optional<Http::CallerServer> server;
};

}
