// SPDX-License-Identifier: BSD-2-Clause
// The configuration allows larger heads; a request that keeps within the limits ends the process that reads it.
#include "../standins-2/Lab.h"

using namespace lab;

static std::map<string, int> ends;
static bool is_over = false;
static int allowed = 16384;
static int served = 0;
static int sent = 0;
static int lost = 0;

static void keep_running(Host& host)
{
    while (!is_over) {
        sleep_ms(20);
        auto const status = host.ended();
        if (!status)
            continue;
        ++ends[host.name];
        std::ifstream log(host.log);
        string last;
        for (string line; std::getline(log, line);)
            last = line;
        rec("BROKEN: %s has ended by itself (%s %d): %s", host.name.c_str(), WIFEXITED(*status) ? "status" : "signal",
            WIFEXITED(*status) ? WEXITSTATUS(*status) : WTERMSIG(*status), last.c_str());
        sleep_ms(1000);
        if (!is_over)
            host.start();
    }
}

/// Sends a request whose prompt has many parts: three fifths of what the limit in force allows for a head.
static int send(Host const& host, string const& attempt)
{
    string parts;
    for (int i = 0; parts.size() < static_cast<size_t>(allowed) * 3 / 5; ++i) {
        char part[32];
        std::snprintf(part, sizeof part, "%s%08x:1", i ? "," : "", 0x5c1e0000 + i);
        parts += part;
    }
    auto const request = "GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nLilactiller-Attempt-Id: " + attempt
        + "\r\nLilactiller-Prompt-Prefix: " + parts
        + "\r\nLilactiller-Deadline-Ms: 3000\r\nApi-Key: xd9dnn2ctnfzs989anu6\r\nConnection: close\r\n\r\n";
    auto stream = connect_to(host.callers);
    int status = 0;
    if (stream) {
        Message answer;
        stream->write(request);
        if (stream->head(answer) && stream->body(answer))
            status = answer.status();
    }
    ++sent;
    (status == 200 ? served : lost) += 1;
    rec("client sends %s with a head of %zu bytes to %s: %s", attempt.c_str(), request.size(), host.name.c_str(),
        status       ? std::to_string(status).c_str()
            : stream ? "the connection is closed without an answer"
                     : "no connection");
    return status;
}

static string configuration(int version, int header_bytes)
{
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"r-tariff","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":3000,"goal_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"public":false}],"services":[{"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":)"
        + std::to_string(header_bytes)
        + R"(,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})";
}

static int play(string const& directory)
{
    std::vector<string> const zones { "hall-a", "hall-b", "hall-c" };
    auto* const store = new Store("127.0.0.1"); // until the process ends
    for (auto const& zone : zones)
        new PlainRunner(*store, "127.0.0.1", "i-" + zone, "wuno96b", zone);
    store->put("op", "config", configuration(7, allowed));
    for (auto const& zone : zones)
        add_host(directory, "front-" + zone + "-1", zone, store->server->address, zones);
    for (auto& host : hosts) {
        host.start();
        spawn([&host] { keep_running(host); });
    }
    if (!all_ready(15000))
        return 2;
    rec("all hosts are ready");
    sleep_ms(3500);
    int number = 0;
    auto round = [&](int count) {
        for (int i = 0; i < count; ++i) {
            for (auto const& host : hosts) {
                char attempt[32];
                std::snprintf(attempt, sizeof attempt, "9c41d07b%08x", ++number);
                spawn([&host, attempt = string(attempt)] { send(host, attempt); });
                sleep_ms(300);
            }
        }
    };
    round(4);
    if (with_trouble) {
        store->put("op", "config", configuration(9, 131072));
        rec("the configuration changes: version 9 has max_header_bytes 131072");
        sleep_ms(3000); // config_ms is 2,000
        allowed = 131072;
    }
    for (int i = 0; i < 3; ++i) {
        round(2);
        sleep_ms(5000);
    }
    is_over = true;
    sleep_ms(1500);
    int hosts_with_three = 0;
    for (auto const& [name, count] : ends) {
        rec("%s has ended by itself %d times", name.c_str(), count);
        hosts_with_three += count >= 3 ? 1 : 0;
    }
    rec("%d of %d requests were served", served, sent);
    if (served == 0)
        return 2;
    return hosts_with_three >= 2 ? 1 : 0;
}

int main(int, char** arguments) { return run_case(arguments[1], 60000, play); }
