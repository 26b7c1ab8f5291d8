/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/HttpCall.h>
#include <Tests/Support/TestFleet.h>
#include <Utilities/OperatorClient.h>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <regex>
#include <sstream>

static std::string const golden_path = std::string(LILAC_SOURCE_DIRECTORY) + "/Tests/Golden/whole-session.txt";

/// Replaces the text that differs between runs: random ids, times and addresses.
static std::string normalised(std::string text)
{
    static std::vector<std::pair<std::regex, std::string>> const rules {
        { std::regex("gen-[0-9a-f]{16}-"), "gen-ID-" },
        { std::regex("\"created\":[0-9]+"), "\"created\":TIME" },
        { std::regex("incarnation [0-9]+"), "incarnation N" },
        { std::regex("127\\.[0-9]+\\.[0-9]+\\.[0-9]+:[0-9]+"), "ADDRESS" },
    };
    for (auto const& [pattern, replacement] : rules)
        text = std::regex_replace(text, pattern, replacement);
    return text;
}

/// A transcript of the calls of a session, with its gateway.
class Session {
public:
    explicit Session(TestFleet& fleet)
        : gateway("127.0.0.1:" + std::to_string(fleet.gateways[0]->frontend.port()))
    {
    }

    void write_line(std::string const& line) { this->transcript << line << '\n'; }

    /// Sends a caller's request and records the request and the response.
    void call(std::string const& method, std::string const& path, std::string const& key, std::string const& body)
    {
        this->write_line("> " + method + ' ' + path + (key.empty() ? "" : " as " + key) + ' ' + body);
        Platform::HttpRequest request { method, path, body, {} };
        if (!key.empty())
            request.headers["Authorization"] = "Bearer " + key;
        auto response = Platform::call_http(this->gateway, request, 30s);
        REQUIRE(response.has_value());
        this->write_line("< " + std::to_string(response.value().status));
        for (auto const* header : { "Content-Type", "Lilactiller-Outcome", "Retry-After" }) {
            auto found = response.value().headers.find(header);
            if (found != response.value().headers.end())
                this->write_line(std::string("< ") + header + ": " + found->second);
        }
        this->write_line(response.value().body);
    }

    std::ostringstream transcript;

private:
    Address gateway;
};

static wire::Change change_from(std::string const& json)
{
    return Configuration::from_json<wire::Change>(json).value();
}

static void run_operator_calls(Session& session, TestFleet& fleet)
{
    auto address = fleet.operator_address().value();
    OperatorClient vesela(address, "editor-key", "");
    OperatorClient dimitar(address, "viewer-key", "");
    auto apply = [&](OperatorClient& client, std::string const& name, std::string const& json, std::string const& id,
                     u64 expected) {
        session.write_line("operator " + name + " applies " + id + ": " + json);
        auto reply = client.apply(change_from(json), id, expected);
        session.write_line(reply ? "  revision " + std::to_string(reply.value().revision())
                    + (reply.value().repeated() ? " (accepted before)" : "")
                                 : "  " + reply.error().message);
    };
    auto const* route = R"({"putRoute":{"organisation":"hanak","name":"why-refused","model":"writer"}})";
    apply(vesela, "vesela", route, "c-1", 0);
    apply(vesela, "vesela", route, "c-1", 0);
    apply(vesela, "vesela", R"({"deleteModel":"writer"})", "c-2", 0);
    apply(vesela, "vesela", R"({"putModel":{"id":"reader"}})", "c-3", 3);
    apply(dimitar, "dimitar", R"({"putModel":{"id":"reader"}})", "c-4", 0);
    std::vector<u64> watched;
    auto result = vesela.watch(7, [&](wire::LogEntry const& entry) {
        watched.push_back(entry.revision());
        return watched.size() < 2;
    });
    CHECK(result.has_value());
    session.write_line(
        "operator vesela watches from 7: " + std::to_string(watched.at(0)) + ' ' + std::to_string(watched.at(1)));
    wait_until("the change at the gateway and the router", [&] {
        auto& gateway = fleet.gateways[0]->daemon;
        auto& router = *fleet.routers[0];
        return gateway.on_loop([&] { return gateway.node->configuration().revision() == Revision(9); })
            && router.on_loop([&] { return router.node->configuration().revision() == Revision(9); });
    });
}

static void explain_first_generation(Session& session, TestFleet& fleet)
{
    OperatorClient vesela(fleet.operator_address().value(), "editor-key", "");
    std::string generation;
    for (auto const& event : fleet.gateways[0]->daemon.node->events().latest(1000)) {
        if (event.number == Core::EventNumber::RequestReceived && generation.empty())
            generation = event.subject;
    }
    std::map<std::string, std::vector<std::string>> by_member;
    wait_until("the complete timeline", [&] {
        by_member.clear();
        auto reply = vesela.explain(generation);
        REQUIRE(reply.has_value());
        for (auto const& event : reply.value().events())
            by_member[event.member()].push_back("  E" + std::to_string(event.number()) + ' '
                + std::string(Core::describe(static_cast<Core::EventNumber>(event.number())).name) + ' '
                + event.text());
        return by_member["gateway-0"].size() == 3 && by_member["router-0"].size() == 2;
    });
    session.write_line("operator vesela has the first generation explained");
    for (auto const& [member, lines] : by_member) {
        session.write_line(" " + member);
        for (auto const& line : lines)
            session.write_line(line);
    }
}

SCENARIO("a session of callers and operators matches the recorded transcript")
{
    TestFleet fleet({ .gateways = 1, .routers = 1, .engines = 1, .services = 1 });
    fleet.start_operator();
    wait_until("the operator server to know the gateway and the router", [&] {
        auto& daemon = *fleet.operator_server;
        return daemon.on_loop([&] {
            return daemon.node->members().others().size() == 2
                && daemon.node->configuration().revision() == Revision(8);
        });
    });
    Session session(fleet);
    run_operator_calls(session, fleet);
    session.call("POST", "/v1/completions", "hanak-key",
        R"({"model":"why-refused","prompt":"Why was the card refused? [tokens=4]","stream":true})");
    session.call("POST", "/v1/completions", "hanak-key", R"({"model":"why-refused","prompt":"Why? [tokens=3]"})");
    session.call("POST", "/v1/chat/completions", "hanak-key",
        R"({"model":"why-refused","stream":true,"messages":[{"role":"user","content":"Why? [tokens=2]"}]})");
    session.call("GET", "/v1/services/till/receipts/4711", "hanak-key", "");
    session.call("POST", "/v1/completions", "hanak-key", R"({"model":"nonsense","prompt":"x"})");
    session.call("POST", "/v1/completions", "wrong-key", R"({"model":"why-refused","prompt":"x"})");
    session.call("POST", "/v1/completions", "", R"({"model":"why-refused","prompt":"x"})");
    session.call("POST", "/v1/completions", "hanak-key", "{");
    session.call("GET", "/v1/elsewhere", "hanak-key", "");
    explain_first_generation(session, fleet);

    auto transcript = normalised(session.transcript.str());
    if (std::getenv("LILAC_UPDATE_GOLDEN"))
        std::ofstream(golden_path) << transcript;
    std::ifstream golden(golden_path);
    std::ostringstream expected;
    expected << golden.rdbuf();
    CHECK(transcript == expected.str());
}
