// SPDX-License-Identifier: BSD-2-Clause
// A leaving runner fails the order to stop a run, and the run goes on elsewhere while the first runner works on.
#include "../standins-2/Lab.h"

using namespace lab;

static auto& engines = *new std::list<std::unique_ptr<Engine>>; // until the process ends
static int broken = 0;
static int continued = 0;
static int whole = 0;
static int cut = 0;

static void check_later(string attempt, Engine* now_at)
{
    sleep_ms(400);
    for (auto const& engine : engines) {
        if (engine.get() == now_at || !engine->works_on(attempt))
            continue;
        ++broken;
        rec("BROKEN (TWICE): %s goes on at runner %s, and 400 ms later runner %s still works on it", attempt.c_str(),
            now_at->id.c_str(), engine->id.c_str());
    }
}

static void client(Host const& host, string attempt)
{
    auto stream = connect_to(host.callers);
    if (!stream)
        return;
    auto const body = string(2600, 'x');
    auto const request = "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nLilactiller-Attempt-Id: " + attempt
        + "\r\nLilactiller-Model: m\r\nLilactiller-Token-Usage: 3000,944\r\nLilactiller-Prompt-Prefix: 5c1e07a2:79,"
        + attempt + ":2921\r\nLilactiller-Deadline-Ms: 39000\r\nApi-Key: xd9dnn2ctnfzs989anu6\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
    rec("client sends %s to %s", attempt.c_str(), host.name.c_str());
    Message head;
    stream->write(request);
    if (!stream->head(head)) {
        rec("client: no answer to %s", attempt.c_str());
        return;
    }
    if (head.status() != 200) {
        stream->body(head);
        rec("client: %s is answered %d %s", attempt.c_str(), head.status(), head.body.c_str());
        return;
    }
    string text;
    std::function<void(string const&)> const append = [&text](string const& piece) { text += piece; };
    bool const is_whole = stream->chunks(append);
    (is_whole ? whole : cut) += 1;
    rec("client: the stream of %s %s", attempt.c_str(), is_whole ? "is whole" : "was cut off");
}

static int play(string const& directory)
{
    std::vector<string> const zones { "hall-a", "hall-b", "hall-c" };
    auto* const store = new Store("127.0.0.1"); // until the process ends
    for (int i = 0; i < 9; ++i) {
        engines.push_back(std::make_unique<Engine>(
            *store, "127.0.0.1", "i-" + std::to_string(1000 + i), "huvo11a", zones[i % 3], std::random_device {}()));
        // "Most of them drop a request when its connection closes": three of nine do not.
        engines.back()->drops = i >= 3;
    }
    store->put("op", "config",
        R"({"version":7,"routes":[{"name":"r-px5pa2y","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":39000,"goal_ms":1800,"priority":0,"service":"huvo11a","max_attempts":1,"public":false,"sticky":true,"resumable":false,"gap_aim_ms":180}],"services":[{"name":"huvo11a","health_path":"/health","max_conns":442,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":34545,"kv_token_bytes":18432,"link_mbps":2700.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})");
    on_continued = [](string const& attempt, Engine& engine) {
        ++continued;
        spawn([attempt, &engine] { check_later(attempt, &engine); });
    };
    for (int i = 0; i < 3; ++i)
        add_host(directory, "front-" + zones[i] + "-1", zones[i], store->server->address, zones);
    for (auto& host : hosts)
        host.start();
    if (!all_ready(15000))
        return 2;
    rec("all hosts are ready");
    sleep_ms(4000); // longer than contact_ms, so that all are in touch
    int number = 0;
    auto at = engines.begin();
    for (int round = 0; round < 3; ++round) {
        // 3.4 a second on the sheet, each for some 7.5 s.
        for (int i = 0; i < 27; ++i) {
            auto host = std::next(hosts.begin(), i % 3);
            char name[32];
            std::snprintf(name, sizeof name, "%08x%08x", 0x9c41d07b, ++number);
            spawn([&host = *host, name = string(name)] { client(host, name); });
            sleep_ms(60);
        }
        auto& leaving = **at++;
        if (with_trouble) {
            leaving.failing = 0.45;
            rec("runner %s fails 0.45 of its requests from now on, for 6.5 s", leaving.id.c_str());
        }
        leaving.leave(700);
        sleep_ms(7000);
        rec("runner %s got %d requests and orders, and failed %d", leaving.id.c_str(), leaving.seen, leaving.failed);
    }
    for (auto& host : hosts) {
        if (auto const status = host.ended())
            rec("%s has ended with status %d", host.name.c_str(), *status);
    }
    rec("%d requests went on at another runner, %d of them while the earlier one still worked 400 ms later; %d streams "
        "whole, %d cut off",
        continued, broken, whole, cut);
    if (continued == 0)
        return 2;
    return broken > 0 ? 1 : 0;
}

int main(int, char** arguments) { return run_case(arguments[1], 110000, play); }
