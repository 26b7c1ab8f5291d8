/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include "EventText.h"
#include "OperatorClient.h"
#include <LibConfiguration/ConfigurationLog.h>
#include <LibDelivery/ResumeToken.h>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_string(server, "127.0.0.1:7001", "address of an OperatorServer");
DEFINE_string(key, "", "operator key; if empty, the environment variable LILAC_OPERATOR_KEY is used");
DEFINE_string(root_certificate, "", "PEM file to verify the server's certificate with; enables TLS");
DEFINE_string(change_id, "", "identifies the change when it is repeated; random if empty");
DEFINE_uint64(expected_revision, 0, "reject the change unless the configuration is at this revision; 0 means any");
DEFINE_uint64(after_revision, 0, "watch: start after this revision");
DEFINE_uint64(maximum, 500, "events: maximum number of events from each process");
DEFINE_uint64(stop_at, 0, "watch: stop after this revision; 0 means never");

static constexpr auto usage = R"(Command-line tool for operators of lilactiller.

  lilacctl apply FILE         apply the changes in FILE, one JSON object (the schema's Change) per line
  lilacctl diff FILE          show which changes in FILE are not in force yet
  lilacctl get                show the configuration in force
  lilacctl watch              show changes as they are accepted
  lilacctl members            show the processes of the server's failure domain
  lilacctl drain SERVER       send a backend server no new work
  lilacctl undrain SERVER     send a drained backend server new work again
  lilacctl explain GENERATION show why a generation was placed, queued or refused
  lilacctl events             show the newest events of all processes of the failure domain
  lilacctl hash KEY           print the hash of an API key or operator key in the form that the configuration uses)";

static Result<void> fail(std::string message) { return Error { ErrorKind::InvalidRequest, std::move(message), {} }; }

static std::string random_change_id()
{
    std::random_device device;
    std::ostringstream id;
    id << "change-" << std::hex << device() << device();
    return id.str();
}

static Result<std::vector<wire::Change>> read_changes(std::string const& path)
{
    std::ifstream file(path);
    if (!file)
        return Error { ErrorKind::InvalidRequest, path + ": cannot be read; name a readable file", {} };
    std::vector<wire::Change> changes;
    size_t number = 0;
    for (std::string line; std::getline(file, line);) {
        ++number;
        if (line.empty() || line.starts_with('#'))
            continue;
        auto change = Configuration::from_json<wire::Change>(line);
        if (!change)
            return Error { change.error().kind, path + ':' + std::to_string(number) + ": " + change.error().message,
                {} };
        changes.push_back(std::move(change.value()));
    }
    return changes;
}

static Result<void> apply_changes(OperatorClient& client, std::vector<wire::Change> const& changes)
{
    auto base_id = FLAGS_change_id.empty() ? random_change_id() : FLAGS_change_id;
    auto expected = FLAGS_expected_revision;
    for (size_t i = 0; i < changes.size(); ++i) {
        auto id = changes.size() == 1 ? base_id : base_id + '/' + std::to_string(i + 1);
        TRY(auto reply, client.apply(changes[i], id, expected));
        std::cout << "revision " << reply.revision() << ' ' << id << (reply.repeated() ? " (accepted before)" : "")
                  << std::endl;
        // Each further change in the file expects the revision of the previous one.
        if (expected > 0)
            expected = reply.revision();
    }
    return success();
}

static Result<void> apply_file(OperatorClient& client, std::string const& path)
{
    TRY(auto changes, read_changes(path));
    return apply_changes(client, changes);
}

static Result<void> drain(OperatorClient& client, std::string const& server, bool draining)
{
    wire::Change change;
    change.mutable_drain()->set_id(server);
    change.mutable_drain()->set_draining(draining);
    return apply_changes(client, { change });
}

static Result<void> diff(OperatorClient& client, std::string const& path)
{
    TRY(auto changes, read_changes(path));
    TRY(auto snapshot, client.get());
    auto document = Configuration::Document::from_snapshot(snapshot);
    auto before = Configuration::to_json(snapshot);
    for (auto const& change : changes) {
        auto changed = document;
        wire::LogEntry entry;
        entry.set_revision(changed.revision().value() + 1);
        *entry.mutable_change() = change;
        changed.apply(entry);
        auto after = changed.snapshot();
        after.set_revision(snapshot.revision());
        if (Configuration::to_json(after) != before)
            std::cout << "would change: " << Configuration::to_json(change) << std::endl;
    }
    return success();
}

static Result<void> show_members(OperatorClient& client)
{
    TRY(auto reply, client.members());
    for (auto const& member : reply.members())
        std::cout << member.id() << ' ' << wire::Role_Name(member.role()) << ' ' << member.address() << " revision "
                  << member.revision() << (member.leaving() ? " leaving" : "") << std::endl;
    return success();
}

static Result<void> explain(OperatorClient& client, std::string const& generation)
{
    TRY(auto reply, client.explain(generation));
    if (reply.events().empty())
        return fail("no process has events of this generation; check the id (old events are discarded)");
    for (auto const& event : reply.events())
        std::cout << format_record(event) << std::endl;
    return success();
}

static Result<void> run(std::string const& command, std::string const& argument)
{
    if (command == "hash") {
        std::cout << Delivery::sha256_hexadecimal(argument) << std::endl;
        return success();
    }
    auto const* from_environment = std::getenv("LILAC_OPERATOR_KEY");
    auto key = FLAGS_key.empty() && from_environment ? from_environment : FLAGS_key;
    OperatorClient client(FLAGS_server, key, FLAGS_root_certificate);
    if (command == "apply")
        return apply_file(client, argument);
    if (command == "diff")
        return diff(client, argument);
    if (command == "drain" || command == "undrain")
        return drain(client, argument, command == "drain");
    if (command == "members")
        return show_members(client);
    if (command == "explain")
        return explain(client, argument);
    if (command == "get") {
        TRY(auto snapshot, client.get());
        std::cout << Configuration::to_json(snapshot) << std::endl;
        return success();
    }
    if (command == "watch")
        return client.watch(FLAGS_after_revision, [](wire::LogEntry const& entry) {
            std::cout << Configuration::to_json(entry) << std::endl;
            return FLAGS_stop_at == 0 || entry.revision() < FLAGS_stop_at;
        });
    if (command == "events") {
        TRY(auto batch, client.events(FLAGS_maximum));
        for (auto const& event : batch.events())
            std::cout << format_record(event) << std::endl;
        return success();
    }
    return fail("unknown command '" + command + "'; see lilacctl --help");
}

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(usage);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc < 2) {
        std::cerr << usage << std::endl;
        return 2;
    }
    auto result = run(argv[1], argc > 2 ? argv[2] : "");
    if (result)
        return 0;
    std::cerr << result.error().message << std::endl;
    return 1;
}
