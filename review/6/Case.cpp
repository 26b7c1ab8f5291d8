// SPDX-License-Identifier: BSD-2-Clause
// The settings get a bound with a fraction; the processes that are started with them end at once, again and again.
#include "../standins-2/Lab.h"

using namespace lab;

static int sent = 0;
static int served = 0;
static int sent_late = 0;
static int served_late = 0;
static bool is_late = false;
static bool is_over = false;

static void client(Host const& host, int number)
{
    for (int i = 0; !is_over; ++i) {
        char attempt[32];
        std::snprintf(attempt, sizeof attempt, "%08x%08x", number, i);
        bool const counts = is_late;
        ++(counts ? sent_late : sent);
        int status = 0;
        if (auto stream = connect_to(host.callers)) {
            Message answer;
            stream->write(string("GET /puxa403/2f HTTP/1.1\r\nHost: ficu95.example\r\nLilactiller-Attempt-Id: ")
                + attempt
                + "\r\nLilactiller-Deadline-Ms: 3000\r\nApi-Key: xd9dnn2ctnfzs989anu6\r\nConnection: close\r\n\r\n");
            if (stream->head(answer) && stream->body(answer))
                status = answer.status();
        }
        if (status == 200)
            ++(counts ? served_late : served);
        if (i % 10 == 0)
            rec("client %d sends %s to %s: %s", number, attempt, host.name.c_str(),
                status ? std::to_string(status).c_str() : "no connection");
        sleep_ms(200);
    }
}

static std::map<string, int> ends;

/// "When a process ends or is killed, it is started again after a short delay with the settings then current."
static void keep_running(Host& host)
{
    while (!is_over) {
        sleep_ms(50);
        auto const status = host.ended();
        if (!status)
            continue;
        if (WIFEXITED(*status)) {
            ++ends[host.name];
            rec("%s has ended by itself with status %d: %s", host.name.c_str(), WEXITSTATUS(*status),
                [&] {
                    std::ifstream log(host.log);
                    string line;
                    string last;
                    while (std::getline(log, line))
                        last = line;
                    return last;
                }()
                    .c_str());
        } else {
            rec("%s was killed", host.name.c_str());
        }
        sleep_ms(1000);
        if (!is_over)
            host.start();
    }
}

static int play(string const& directory)
{
    std::vector<string> const zones { "hall-a", "hall-b", "hall-c" };
    auto* const store = new Store("127.0.0.1"); // until the process ends
    for (auto const& zone : zones)
        new PlainRunner(*store, "127.0.0.1", "i-" + zone, "wuno96b", zone);
    store->put("op", "config",
        R"({"version":7,"routes":[{"name":"r-tariff","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":3000,"goal_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"public":false}],"services":[{"name":"wuno96b","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"huka270","api_keys":["xd9dnn2ctnfzs989anu6"],"priority":1}]})");
    for (int i = 0; i < 5; ++i)
        add_host(directory, "front-" + zones[i % 3] + '-' + std::to_string(i / 3 + 1), zones[i % 3],
            store->server->address, zones);
    for (auto& host : hosts) {
        host.start();
        spawn([&host] { keep_running(host); });
    }
    if (!all_ready(15000))
        return 2;
    rec("all hosts are ready");
    int number = 0;
    for (auto& host : hosts)
        spawn([&host, n = ++number] { client(host, n); });
    sleep_ms(4000);
    if (with_trouble) {
        // To 0.6 of the machines, and 2 s later to the others.
        int changed = 0;
        for (auto& host : hosts) {
            if (changed++ == 3)
                sleep_ms(2000);
            std::ifstream before(host.settings);
            string text((std::istreambuf_iterator<char>(before)), {});
            auto const at = text.find("stop_grace: \"8s\"");
            text.replace(at, std::strlen("stop_grace: \"8s\""), "stop_grace: \"8.5s\"");
            std::ofstream(host.settings) << text;
            host.send(SIGHUP);
            rec("the settings of %s change: bounds.grace_s is 8.5; SIGHUP", host.name.c_str());
        }
    }
    sleep_ms(2000);
    rec("the final fault: all processes are killed");
    for (auto& host : hosts)
        host.send(SIGKILL);
    sleep_ms(1000 + 12000); // until they are started again, and recover_s
    is_late = true;
    sleep_ms(10000);
    is_over = true;
    sleep_ms(4000);
    for (auto const& [name, count] : ends)
        rec("%s has ended by itself %d times", name.c_str(), count);
    rec("before the final fault %d of %d requests were served; of those sent more than recover_s after it, %d of %d",
        served, sent, served_late, sent_late);
    if (4 * served < sent)
        return 2;
    return 4 * served_late < sent_late ? 1 : 0;
}

int main(int, char** arguments) { return run_case(arguments[1], 60000, play); }
