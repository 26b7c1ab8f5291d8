/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConfiguration/ConfigurationLog.h>
#include <LibPlatform/FaultyTable.h>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <rapidcheck/catch.h>

using Configuration::ConfigurationLog;
using Configuration::Document;
using Platform::Fault;
using Platform::FaultyTable;
using Platform::MemoryTable;

static wire::Change put_model(std::string const& id)
{
    wire::Change change;
    change.mutable_put_model()->set_id(id);
    return change;
}

/// An operator's process with its own view of the table.
struct Operator {
    explicit Operator(MemoryTable& table)
        : view(table)
        , log(this->view)
    {
    }

    Result<Configuration::Accepted> append(
        std::string const& id, wire::Change const& change, std::optional<Revision> expected = {})
    {
        return this->log.append(this->document, change, id, "test", expected);
    }

    FaultyTable view;
    ConfigurationLog<FaultyTable> log;
    Document document;
};

SCENARIO("an accepted change has one revision, however often it is asked for")
{
    MemoryTable table;
    Operator vesela(table);
    auto accepted = vesela.append("c1", put_model("writer"));
    REQUIRE(accepted.has_value());
    CHECK(accepted.value().revision == Revision(1));

    WHEN("another process sends the same change id again")
    {
        Operator other(table);
        auto repeated = other.append("c1", put_model("writer"));
        CHECK(repeated.value().revision == Revision(1));
        CHECK(repeated.value().repeated);
    }
    WHEN("the response to the next write is lost after the write was done")
    {
        // The calls before the commit read the head, the row of the change, and the log up to its end.
        vesela.view.script({ Fault::None, Fault::None, Fault::None, Fault::None, Fault::LoseResponse });
        auto second = vesela.append("c2", put_model("reader"));
        THEN("the append finds the accepted change, and there is one entry")
        {
            REQUIRE(second.has_value());
            CHECK(second.value().revision == Revision(2));
            CHECK(vesela.log.head().value() == Revision(2));
        }
    }
    WHEN("the request of the next write is lost")
    {
        vesela.view.script({ Fault::None, Fault::None, Fault::None, Fault::None, Fault::LoseRequest });
        auto second = vesela.append("c2", put_model("reader"));
        CHECK(second.value().revision == Revision(2));
        CHECK(vesela.log.read_after(Revision(0)).value().size() == 2);
    }
    WHEN("the platform stays unavailable after a lost response")
    {
        vesela.view.script({ Fault::None, Fault::None, Fault::None, Fault::None, Fault::LoseResponse });
        vesela.view.set_standing_fault(Fault::Unavailable);
        auto second = vesela.append("c2", put_model("reader"));
        THEN("the change is not reported as rejected") { CHECK(second.error().kind == ErrorKind::PlatformAnswerLost); }
    }
    WHEN("the platform is unavailable from the start")
    {
        vesela.view.set_standing_fault(Fault::Unavailable);
        CHECK(vesela.append("c2", put_model("reader")).error().kind == ErrorKind::PlatformUnavailable);
    }
}

/// A table that runs an action once, between a writer's reads and its commit.
struct CrossingTable {
    Result<Platform::Row> read(std::string const& key) { return this->table.read(key); }
    Result<std::vector<Platform::Row>> scan(std::string const& prefix, std::string const& after, size_t limit)
    {
        return this->table.scan(prefix, after, limit);
    }
    Result<Platform::CommitResult> commit(Platform::Transaction const& transaction)
    {
        if (auto action = std::exchange(this->before_commit, nullptr))
            action();
        return this->table.commit(transaction);
    }

    MemoryTable& table;
    std::function<void()> before_commit;
};

SCENARIO("two operators whose calls cross get a revision each")
{
    MemoryTable table;
    Operator dimitar(table);
    CrossingTable view { table, [&] { REQUIRE(dimitar.append("d", put_model("b")).has_value()); } };
    ConfigurationLog log(view);
    Document document;
    auto accepted = log.append(document, put_model("a"), "v", "vesela", {});
    CHECK(accepted.value().revision == Revision(2));
    auto entries = log.read_after(Revision(0)).value();
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].change_id() == "d");
    CHECK(entries[1].change_id() == "v");
}

SCENARIO("a starting process reads a snapshot and the entries after it")
{
    MemoryTable table;
    ConfigurationLog log(table);
    Document document;
    for (int i = 1; i <= 260; ++i) {
        auto id = "m" + std::to_string(i);
        REQUIRE(log.append(document, put_model(id), id, "test", {}).has_value());
        REQUIRE(log.catch_up(document).has_value());
        REQUIRE(log.write_snapshot_if_due(document).has_value());
    }
    auto snapshot = log.read_snapshot();
    REQUIRE(snapshot.value());
    CHECK(snapshot.value()->revision() == 256);
    auto fresh = Document::from_snapshot(*snapshot.value());
    REQUIRE(log.catch_up(fresh).has_value());
    CHECK(fresh.snapshot().SerializeAsString() == document.snapshot().SerializeAsString());
}

SCENARIO("of two operators who race from the same revision, one gets a conflict")
{
    MemoryTable table;
    Operator vesela(table);
    Operator dimitar(table);
    REQUIRE(vesela.append("c1", put_model("writer")).has_value());
    REQUIRE(vesela.append("v", put_model("a"), Revision(1)).has_value());
    auto rejected = dimitar.append("d", put_model("b"), Revision(1));
    REQUIRE_FALSE(rejected.has_value());
    CHECK(rejected.error().kind == ErrorKind::Conflict);
    CHECK(rejected.error().message.find("revision 2") != std::string::npos);
}

TEST_CASE("operators, lost answers and outages leave one gapless log", "[property]")
{
    rc::prop("configuration log", [] {
        MemoryTable table;
        std::vector<std::unique_ptr<Operator>> operators;
        for (int i = 0; i < 3; ++i)
            operators.push_back(std::make_unique<Operator>(table));
        std::map<std::string, u64> accepted;
        auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            auto& writer = *operators[*rc::gen::inRange<size_t>(0, operators.size())];
            auto id = "c" + std::to_string(*rc::gen::inRange(0, 12));
            std::deque<Fault> faults;
            for (int call = 0; call < 8; ++call)
                faults.push_back(*rc::gen::weightedElement<Fault>({ { 6, Fault::None }, { 1, Fault::Unavailable },
                    { 2, Fault::LoseResponse }, { 1, Fault::LoseRequest } }));
            writer.view.script(faults);
            auto result = writer.append(id, put_model("m-" + id));
            writer.view.script({});
            if (!result)
                continue;
            auto revision = result.value().revision.value();
            // An accepted change always has the same revision.
            auto known = accepted.emplace(id, revision);
            RC_ASSERT(known.first->second == revision);
        }
        ConfigurationLog clean(table);
        auto entries = clean.read_after(Revision(0)).value();
        std::map<std::string, u64> logged;
        for (size_t i = 0; i < entries.size(); ++i) {
            RC_ASSERT(entries[i].revision() == i + 1);
            RC_ASSERT(logged.emplace(entries[i].change_id(), i + 1).second);
        }
        RC_ASSERT(clean.head().value() == Revision(entries.size()));
        for (auto const& [id, revision] : accepted)
            RC_ASSERT(logged[id] == revision);
    });
}
