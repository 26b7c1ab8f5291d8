/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibConfiguration/ConfigurationLog.h>
#include <catch2/catch.hpp>

using Configuration::Document;

static wire::Change change_from(std::string const& json)
{
    auto change = Configuration::from_json<wire::Change>(json);
    REQUIRE(change.has_value());
    return change.value();
}

static void apply_change(Document& document, std::string const& json)
{
    wire::LogEntry entry;
    entry.set_revision(document.revision().value() + 1);
    *entry.mutable_change() = change_from(json);
    REQUIRE(document.validate(entry.change()).has_value());
    document.apply(entry);
}

static ErrorKind validation_error(Document const& document, std::string const& json)
{
    auto result = document.validate(change_from(json));
    REQUIRE_FALSE(result.has_value());
    CHECK_FALSE(result.error().message.empty());
    return result.error().kind;
}

static std::string const hash_a(64, 'a');

SCENARIO("the configuration rejects invalid and conflicting changes")
{
    Document document;
    apply_change(document, R"({"putModel":{"id":"writer","adapters":["summaries"]}})");
    apply_change(document, R"({"putOrganisation":{"id":"toll","apiKeyHashes":[")" + hash_a + R"("]}})");
    apply_change(
        document, R"({"putRoute":{"organisation":"toll","name":"summary","model":"writer","adapter":"summaries"}})");

    CHECK(validation_error(document, R"({"putRoute":{"organisation":"nobody","name":"x","model":"writer"}})")
        == ErrorKind::UnknownEntity);
    CHECK(validation_error(document, R"({"putRoute":{"organisation":"toll","name":"x","model":"other"}})")
        == ErrorKind::UnknownEntity);
    CHECK(
        validation_error(document, R"({"putRoute":{"organisation":"toll","name":"x","model":"writer","adapter":"y"}})")
        == ErrorKind::UnknownEntity);
    CHECK(validation_error(document, R"({"deleteModel":"writer"})") == ErrorKind::Conflict);
    CHECK(validation_error(document, R"({"putModel":{"id":"writer"}})") == ErrorKind::Conflict);
    CHECK(validation_error(document, R"({"putOrganisation":{"id":"hanak","apiKeyHashes":[")" + hash_a + R"("]}})")
        == ErrorKind::Conflict);
    CHECK(validation_error(document, R"({"putOrganisation":{"id":"a b"}})") == ErrorKind::InvalidRequest);
    CHECK(validation_error(document, R"({"putOrganisation":{"id":"x","apiKeyHashes":["secret"]}})")
        == ErrorKind::InvalidRequest);
    CHECK(validation_error(document, R"({"putResumeKey":{"id":"k","secretHexadecimal":"00"}})")
        == ErrorKind::InvalidRequest);
    CHECK(validation_error(document, "{}") == ErrorKind::InvalidRequest);

    WHEN("an organisation is deleted")
    {
        apply_change(document, R"({"deleteOrganisation":"toll"})");
        THEN("its routes and keys are deleted too")
        {
            CHECK_FALSE(document.find_route(OrganisationId("toll"), RouteName("summary")));
            CHECK_FALSE(document.find_organisation_by_key_hash(hash_a));
        }
    }
    WHEN("a snapshot is taken")
    {
        auto copy = Document::from_snapshot(document.snapshot());
        THEN("the copy equals the original")
        {
            CHECK(Configuration::to_json(copy.snapshot()) == Configuration::to_json(document.snapshot()));
            CHECK(copy.find_organisation_by_key_hash(hash_a));
        }
    }
}

SCENARIO("resume keys rotate: the newest signs, earlier ones still verify")
{
    Document document;
    for (char digit : std::string("0123456"))
        apply_change(document,
            std::string(R"({"putResumeKey":{"id":"key-)") + digit + R"(","secretHexadecimal":")"
                + std::string(32, digit) + "\"}}");
    CHECK(document.newest_resume_key()->id() == "key-6");
    CHECK(document.find_resume_key("key-3"));
    CHECK_FALSE(document.find_resume_key("key-2"));
}
