/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "CallerClient.h"
#include "CommaList.h"
#include <LibCore/Metrics.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

DEFINE_string(gateways, "127.0.0.1:8001", "comma-separated addresses of the gateways");
DEFINE_string(keys, "", "comma-separated API keys, used by the requests in turn");
DEFINE_string(route, "summary", "route of the generations");
DEFINE_string(service, "", "plain service to call with a share of the requests; empty for none");
DEFINE_double(service_share, 0.2, "share of requests that are plain-service calls");
DEFINE_double(rate, 10, "mean arrival rate in requests per second; a Poisson process, independent of the responses");
DEFINE_int32(requests, 100, "total number of requests");
DEFINE_uint32(seed, 1, "seed for arrivals, output lengths and choices");
DEFINE_double(median_output, 60, "median output length in tokens; lengths are log-normally distributed");
DEFINE_int32(deadline_milliseconds, 10000, "deadline of the first token, in milliseconds");
DEFINE_string(history, "", "file for the history of what every caller received, for historycheck");
DEFINE_string(prompt, "", "make one request with this prompt, print its tokens as they arrive, and exit");

static std::string to_line(Poco::JSON::Object const& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str() + '\n';
}

static std::string generation_line(GenerationResult const& result)
{
    Poco::JSON::Object line;
    line.set("kind", "generation");
    line.set("generation", result.generation);
    line.set("outcome", result.outcome);
    line.set("error", result.error);
    line.set("resumes", result.resumes);
    Poco::JSON::Array offsets;
    for (auto offset : result.offsets)
        offsets.add(static_cast<Poco::UInt64>(offset));
    line.set("offsets", offsets);
    Poco::JSON::Array tokens;
    for (auto const& token : result.tokens)
        tokens.add(token);
    line.set("tokens", tokens);
    return to_line(line);
}

/// One planned request.
struct Plan {
    Duration at { 0 };
    size_t gateway { 0 };
    std::string api_key;
    bool is_service_call { false };
    bool is_charge { false };
    int output_tokens { 0 };
    size_t number { 0 };
};

/// Collects the results of all requests. Thread-safe.
class Report {
public:
    void add(GenerationResult const& result)
    {
        std::lock_guard lock(this->mutex);
        this->history += generation_line(result);
        ++this->outcomes[result.outcome.empty() ? "unanswered" : result.outcome];
        if (!result.error.empty())
            ++this->errors[result.error];
        this->token_count += result.tokens.size();
        this->resumes += result.resumes;
        if (!result.tokens.empty())
            this->stall.record(result.stall);
        for (auto gap : result.gaps)
            this->gaps.record(gap);
    }

    void add(CallResult const& result, std::string const& idempotency_key, bool is_repeatable)
    {
        Poco::JSON::Object line;
        line.set("kind", "call");
        line.set("call", result.call);
        line.set("key", idempotency_key);
        line.set("repeatable", is_repeatable);
        line.set("outcome", result.outcome);
        std::lock_guard lock(this->mutex);
        this->history += to_line(line);
        ++this->outcomes["call_" + (result.outcome.empty() ? "unanswered" : result.outcome)];
    }

    void print() const
    {
        Poco::JSON::Object summary;
        for (auto const& [outcome, count] : this->outcomes)
            summary.set(outcome, static_cast<Poco::UInt64>(count));
        for (auto const& [error, count] : this->errors)
            summary.set("error_" + error, static_cast<Poco::UInt64>(count));
        summary.set("tokens", static_cast<Poco::UInt64>(this->token_count));
        summary.set("resumes", static_cast<Poco::UInt64>(this->resumes));
        for (auto const& [name, quantile] : { std::pair("p50", 0.5), std::pair("p95", 0.95), std::pair("p99", 0.99) }) {
            summary.set(std::string("stall_seconds_") + name, this->stall.quantile_seconds(quantile));
            summary.set(std::string("gap_seconds_") + name, this->gaps.quantile_seconds(quantile));
        }
        std::cout << to_line(summary);
    }

    void write_history(std::string const& path) const
    {
        if (!path.empty())
            std::ofstream(path) << this->history;
    }

private:
    std::mutex mutex;
    std::string history;
    std::map<std::string, u64> outcomes;
    std::map<std::string, u64> errors;
    u64 token_count { 0 };
    u64 resumes { 0 };
    Core::LatencyHistogram stall;
    Core::LatencyHistogram gaps;
};

static std::vector<Plan> draw_plans(std::vector<std::string> const& keys, size_t gateway_count)
{
    boost::random::mt19937 random(FLAGS_seed);
    boost::random::exponential_distribution<double> gap(FLAGS_rate);
    boost::random::uniform_real_distribution<double> share(0, 1);
    boost::random::lognormal_distribution<double> length(std::log(FLAGS_median_output), 0.8);
    std::vector<Plan> plans;
    Duration at { 0 };
    for (size_t i = 0; i < static_cast<size_t>(FLAGS_requests); ++i) {
        at += AK::from_seconds(gap(random));
        Plan plan;
        plan.at = at;
        plan.gateway = i % gateway_count;
        plan.api_key = keys[i % keys.size()];
        plan.is_service_call = !FLAGS_service.empty() && share(random) < FLAGS_service_share;
        plan.is_charge = share(random) < 0.5;
        plan.output_tokens = std::max(1, static_cast<int>(length(random)));
        plan.number = i;
        plans.push_back(std::move(plan));
    }
    return plans;
}

static void execute(Plan const& plan, std::vector<Address> const& gateways, Report& report)
{
    CallerClient client(gateways, plan.api_key);
    if (!plan.is_service_call) {
        auto prompt
            = "Incident " + std::to_string(plan.number) + " [tokens=" + std::to_string(plan.output_tokens) + "]";
        report.add(
            client.generate(plan.gateway, FLAGS_route, prompt, std::chrono::milliseconds(FLAGS_deadline_milliseconds)));
        return;
    }
    auto base = "/v1/services/" + FLAGS_service;
    if (!plan.is_charge) {
        auto result
            = client.call_service(plan.gateway, "GET", base + "/receipts/" + std::to_string(plan.number), "", "");
        report.add(result, "", true);
        return;
    }
    // If the response to a charge is lost, the caller retries it at another gateway with the same idempotency key.
    auto key = "charge-" + std::to_string(FLAGS_seed) + '-' + std::to_string(plan.number);
    for (size_t retry = 0; retry < 3; ++retry) {
        auto result = client.call_service(plan.gateway + retry, "POST", base + "/charges", key, "{}");
        report.add(result, key, false);
        if (result.outcome == "completed" || result.status == 409)
            return;
        std::this_thread::sleep_for(200ms);
    }
}

static int run_load(std::vector<std::string> const& keys, std::vector<Address> const& gateways)
{
    Report report;
    auto start = AK::BootClock::now();
    std::vector<std::thread> threads;
    for (auto const& plan : draw_plans(keys, gateways.size())) {
        std::this_thread::sleep_until(start + plan.at);
        threads.emplace_back([plan, &gateways, &report] { execute(plan, gateways, report); });
    }
    for (auto& thread : threads)
        thread.join();
    report.print();
    report.write_history(FLAGS_history);
    return 0;
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "Generates open-loop load on lilactiller's gateways and reports outcomes and latency quantiles.\n\n"
        "  loadgen --gateways A,B --keys K --rate 10 --requests 100 [--history FILE]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<Address> gateways;
    for (auto const& gateway : split_at_commas(FLAGS_gateways))
        gateways.emplace_back(gateway);
    auto keys = split_at_commas(FLAGS_keys);
    if (keys.empty() || gateways.empty()) {
        std::cerr << "--gateways and --keys must not be empty" << std::endl;
        return 2;
    }
    if (FLAGS_prompt.empty())
        return run_load(keys, gateways);
    CallerClient client(gateways, keys[0]);
    auto result = client.generate(0, FLAGS_route, FLAGS_prompt, std::chrono::milliseconds(FLAGS_deadline_milliseconds),
        [](std::string const& token) { std::cout << token << std::flush; });
    std::cout << "\n[" << result.generation << ' ' << result.outcome << ' ' << result.error << ']' << std::endl;
    return result.outcome == "completed" ? 0 : 1;
}
