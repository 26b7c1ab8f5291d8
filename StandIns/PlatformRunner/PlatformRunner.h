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

namespace StandIn {

/// One of the platform's runners: a plain service, or an engine whose generations can be copied to another engine and
/// go on there. Runs on the loop of whoever makes it. Whoever makes it decides when events are made.
class PlatformRunner {
public:
    /// Requests at once, as its row says; operators' configurations for it name the same.
    static constexpr u32 slots = 8;
    /// Tokens that an engine's memory holds, as /report says.
    static constexpr u32 kv_tokens = 30'000;

    /// What the next request gets, once.
    enum class Fault : u8 {
        /// A refusal that says that the request has not run.
        NotRun,
        /// The address belongs to another runner.
        Misdirected,
        /// It runs, and the connection ends without an answer.
        LoseResponse,
        /// It runs, and the answer is a failure.
        Fail,
        /// It runs, and the answer carries no signature.
        Unsigned,
        /// It never answers.
        Hang,
    };

    /// A request as it came in.
    struct Received {
        std::string attempt;
        std::string target;
        std::string body;
        std::map<std::string, std::string> headers;
    };

    PlatformRunner(Http::asio::io_context&, Http::tcp::endpoint, std::string id);

    void add_fault(Fault fault) { this->faults.push_back(fault); }
    /// Makes the next event of every generation that runs here, and ends those that have all of `planned_events`.
    void make_events();
    /// Ends every generation that runs here, whole.
    void finish_all();
    /// How many events a generation has, by its attempt; without it generations end by finish_all() only.
    std::function<u64(std::string const& attempt)> planned_events;
    /// Told of each request that names this runner, before it runs or is refused.
    std::function<void(Received const&)> on_received;
    /// Where hosts and other engines are told to reach it, if that is not where it listens.
    void set_advertised_address(std::string address) { this->advertised_address = std::move(address); }
    /// Requests whose body is this one end its process as soon as they run.
    void set_fatal_body(std::string body) { this->fatal_body = std::move(body); }
    /// What its answers name as the requests a second that it takes from all hosts; nothing for none.
    void set_limit(std::optional<std::string> per_second) { this->limit = std::move(per_second); }
    /// While set it turns every request away as not run and asks the sender for back-off: the value of Retry-After.
    void reject_requests(std::optional<std::string> retry_after) { this->back_off = std::move(retry_after); }
    /// Told of each request that is turned away so.
    std::function<void(Received const&)> on_rejected;
    /// Whether all its answers say that it leaves.
    void announce_leaving(bool says_so) { this->announces_leaving = says_so; }
    [[nodiscard]] bool is_announcing_leaving() const { return this->announces_leaving; }
    /// Plain answers are this long in the making.
    void set_work_time(Duration duration) { this->work_time = duration; }
    /// Breaks every connection and takes no more, as a process that ends does.
    void terminate();
    /// Engines hand copies to each other by themselves; here whoever makes them carries each to its target. False when
    /// there is no way there: the copy is then refused.
    std::function<bool(std::string const& target_address, std::string const& handle, u64 events_made)> on_copy;
    /// Takes a copy that another engine made after so many events; false once its process has ended.
    bool receive_copy(std::string const& handle, u64 events_made)
    {
        if (this->terminated)
            return false;
        this->copies[handle] = events_made;
        return true;
    }
    /// The Unix millisecond of its process's start, which its row and /report name.
    void set_start(i64 milliseconds) { this->start = milliseconds; }
    /// What /report says of the time that is left; nothing if it does not leave.
    void set_leaves_in(std::optional<u64> milliseconds) { this->leaves_in = milliseconds; }

    [[nodiscard]] bool is_terminated() const { return this->terminated; }
    [[nodiscard]] std::vector<Received> const& received() const { return this->requests; }
    /// Attempts whose memory was to be copied, in the order in which that was asked for.
    [[nodiscard]] std::vector<std::string> const& copy_orders() const { return this->ordered_copies; }
    /// Requests that were worked on here, by attempt.
    [[nodiscard]] std::map<std::string, u32> const& runs() const { return this->run_counts; }
    [[nodiscard]] bool is_running(std::string const& attempt) const { return this->generations.contains(attempt); }
    /// Attempts of the generations that run here.
    [[nodiscard]] std::vector<std::string> running() const;
    [[nodiscard]] size_t running_count() const { return this->generations.size(); }
    /// As "ip:port".
    [[nodiscard]] std::string address() const;
    [[nodiscard]] std::string const& id() const { return this->name; }
    /// Generations and hanging requests whose connection was closed before their end.
    [[nodiscard]] u32 dropped_count() const { return this->dropped; }

    /// The value of the row that a runner keeps of itself, in JSON; `zone` is its failure domain.
    [[nodiscard]] std::string row(std::string const& service, std::string const& zone, bool is_draining = false) const;

private:
    struct Generation {
        std::shared_ptr<Http::Exchange> exchange;
        u64 events_made { 0 };
    };

    void handle_request(std::shared_ptr<Http::Exchange> const&);
    void record_request(Http::Request const&);
    void count_run(Http::Request const&);
    bool carry_out_fault(std::shared_ptr<Http::Exchange> const&);
    [[nodiscard]] Http::Response refusal() const;
    /// Puts in what all its answers say of it.
    void set_leaving_header(Http::Response&) const;
    void run(std::shared_ptr<Http::Exchange> const&);
    /// How many events the request's run has behind it; nothing when the copy that it goes on from is not here.
    std::optional<u64> consume_copy(Http::Request const&);
    void begin_generation(std::shared_ptr<Http::Exchange> const&, u64 events_before);
    void terminate_during(std::shared_ptr<Http::Exchange> const&);
    void copy(Http::Exchange&);
    void send_report(Http::Exchange&);
    void send_plain_response(std::shared_ptr<Http::Exchange> const&, Http::Response);
    Http::Response signed_response(Http::Request const&, Http::Status) const;

    Http::asio::io_context& loop;
    std::string name;
    Http::tcp::endpoint endpoint;
    std::string advertised_address;
    Duration work_time { 0 };
    std::deque<Fault> faults;
    std::vector<Received> requests;
    std::map<std::string, u32> run_counts;
    std::map<std::string, Generation> generations;
    /// By handle: the events made when the copy was taken, here as the target or the source.
    std::map<std::string, u64> copies;
    bool terminated { false };
    std::optional<std::string> fatal_body;
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
