// SPDX-License-Identifier: BSD-2-Clause
// Runners of one zone crash together, three of them while they read prompts of a small tenant; the tenant is refused
// from then on.
#include "../standins-2/Lab.h"

#include <algorithm>

using namespace lab;

static auto& engines = *new std::list<std::unique_ptr<Engine>>; // until the process ends
static bool is_over = false;

struct Tenant {
    string name;
    string key;
    /// Requests since the start of traffic, and those of them that were served.
    int asked { 0 };
    int served { 0 };
};
static Tenant tenants[] = { { "huka270", "key-huka270" }, { "large-1", "key-large-1" }, { "large-2", "key-large-2" } };

/// One try. Returns whether the stream came whole; `retry_after` gets the seconds of a refusal.
static bool try_once(Host const& host, Tenant const& tenant, string const& attempt, double& retry_after, bool is_logged)
{
    auto stream = connect_to(host.callers);
    if (!stream)
        return false;
    string const body(2900, 'x');
    // The first part is the tenant's system prompt, which all of its requests share; the last one is the request's own.
    stream->write("POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nLilactiller-Attempt-Id: " + attempt
        + "\r\nLilactiller-Model: m\r\nLilactiller-Token-Usage: " + (tenant.name == "huka270" ? "5550" : "2550")
        + ",16\r\nLilactiller-Prompt-Prefix: 5c1e07a2:350," + attempt + (tenant.name == "huka270" ? ":5200" : ":2200")
        + "\r\nLilactiller-Deadline-Ms: 6000\r\nApi-Key: " + tenant.key + "\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body.substr(0, 2900 - attempt.size()) + attempt);
    Message head;
    if (!stream->head(head)) {
        rec("client: %s of %s gets no answer", attempt.c_str(), tenant.name.c_str());
        return false;
    }
    if (head.status() != 200) {
        stream->body(head);
        // A stream is unsafe: it is sent again only after a promise that it has not run.
        int const status = head.status();
        if (status == 503 || status == 429 || status == 408 || status == 421)
            retry_after = std::strtod(head.get("Retry-After").c_str(), nullptr);
        rec("client: %s of %s is answered %d, Retry-After %s: %s", attempt.c_str(), tenant.name.c_str(), head.status(),
            head.get("Retry-After").c_str(), head.body.c_str());
        return false;
    }
    bool const is_whole = stream->chunks([](string const&) {});
    if (is_logged || !is_whole)
        rec("client: the stream of %s of %s %s", attempt.c_str(), tenant.name.c_str(),
            is_whole ? "is whole" : "was cut off");
    return is_whole;
}

/// A request: one try and, after a refusal, one more as told, but after a third of the time left at most.
static void request(Host const& host, Tenant& tenant, string const& attempt, bool is_logged)
{
    double retry_after = -1;
    bool is_served = try_once(host, tenant, attempt + "a", retry_after, is_logged);
    if (!is_served && retry_after >= 0) {
        sleep_ms(std::min(retry_after * 1000, 2000.0));
        is_served = try_once(host, tenant, attempt + "b", retry_after, is_logged);
    }
    ++tenant.asked;
    tenant.served += is_served ? 1 : 0;
}

static void large(Tenant& tenant, int number)
{
    for (int i = 0; !is_over; ++i) {
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "%07x%08x", number, i);
        auto host = std::next(hosts.begin(), i % 3);
        spawn([&host = *host, &tenant, attempt = string(attempt)] { request(host, tenant, attempt, false); });
        sleep_ms(410);
    }
}

static int play(string const& directory)
{
    std::vector<string> const zones { "hall-a", "hall-b", "hall-c" };
    auto* const store = new Store("127.0.0.1"); // until the process ends
    int ids = 1000;
    auto add_engine = [&](string const& zone) {
        engines.push_back(
            std::make_unique<Engine>(*store, "127.0.0.1", "i-" + std::to_string(ids++), "huvo11a", zone, 1));
        engines.back()->slots = 24;
        engines.back()->put_row();
        engines.back()->total_of = [](string const&) { return 4; };
    };
    for (int i = 0; i < 45; ++i)
        add_engine(zones[i % 3]);
    store->put("op", "config",
        R"({"version":7,"routes":[{"name":"r-hvz3pfi","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":6000,"goal_ms":1500,"priority":1,"service":"huvo11a","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":180}],"services":[{"name":"huvo11a","health_path":"/health","max_conns":672,"protocol":"h1","tls":false,"engine":{"slots":24,"kv_capacity":34545,"kv_token_bytes":18432,"link_mbps":2700.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["key-huka270"],"priority":1},{"name":"large-1","api_keys":["key-large-1"],"priority":1},{"name":"large-2","api_keys":["key-large-2"],"priority":1}]})");
    for (int i = 0; i < 3; ++i)
        add_host(directory, "front-" + zones[i] + "-1", zones[i], store->server->address, zones);
    for (auto& host : hosts)
        host.start();
    if (!all_ready(15000))
        return 2;
    rec("all hosts are ready");
    spawn([] { large(tenants[1], 1); });
    spawn([] { large(tenants[2], 2); });
    sleep_ms(5000);
    // Three clients of the small tenant, all in the zone hall-a.
    std::set<string> attempts;
    for (int i = 0; i < 3; ++i) {
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "9c41d0700000%03x", i);
        attempts.insert(attempt + string("a"));
        spawn([&host = hosts.front(), attempt = string(attempt)] { request(host, tenants[0], attempt, true); });
        sleep_ms(10);
    }
    sleep_ms(150);
    // 0.17 of 45 runners, all in hall-a; those that read the three prompts are among them.
    std::vector<Engine*> crashing;
    for (bool const reads_one : { true, false }) {
        for (auto const& engine : engines) {
            bool const reads = std::ranges::any_of(attempts, [&](string const& one) { return engine->works_on(one); });
            if (engine->zone == "hall-a" && reads == reads_one && crashing.size() < 7)
                crashing.push_back(engine.get());
        }
    }
    if (with_trouble) {
        rec("seven of the fifteen runners of hall-a crash");
        for (auto* engine : crashing)
            engine->crash();
    }
    sleep_ms(4500);
    if (with_trouble) {
        rec("seven new runners start in hall-a");
        for (size_t i = 0; i < crashing.size(); ++i)
            add_engine("hall-a");
    }
    sleep_ms(3000);
    for (int i = 0; i < 14; ++i) {
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "9c41d0710000%03x", i);
        auto at = std::next(hosts.begin(), i % 3);
        spawn([&at = *at, attempt = string(attempt)] { request(at, tenants[0], attempt, true); });
        sleep_ms(2500);
    }
    is_over = true;
    sleep_ms(6500);
    int asked = 0;
    int served = 0;
    for (auto const& tenant : tenants) {
        rec("tenant %s: %d of %d requests served", tenant.name.c_str(), tenant.served, tenant.asked);
        asked += tenant.asked;
        served += tenant.served;
    }
    auto const& small = tenants[0];
    if (served * 2 < asked)
        return 2;
    bool const is_starved = 4.0 * small.served / small.asked < 1.0 * served / asked;
    return is_starved ? 1 : 0;
}

int main(int, char** arguments) { return run_case(arguments[1], 110000, play); }
