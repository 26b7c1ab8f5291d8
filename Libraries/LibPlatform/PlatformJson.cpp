/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibPlatform/PlatformJson.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <functional>
#include <sstream>

namespace Platform {

using Poco::JSON::Array;
using Poco::JSON::Object;

static std::string to_text(Object const& object)
{
    std::ostringstream out;
    object.stringify(out);
    return out.str();
}

/// Parses one JSON object and passes it to `read`. Converts exceptions of the parser to a typed error.
template<typename T>
static Result<T> parse_object(std::string const& json, std::function<T(Object const&)> const& read)
{
    try {
        Poco::JSON::Parser parser;
        auto object = parser.parse(json).extract<Object::Ptr>();
        return read(*object);
    } catch (Poco::Exception const& exception) {
        return Error { ErrorKind::InvalidRequest,
            "malformed JSON (" + exception.displayText() + "); send one object as the docs describe" };
    }
}

static Array::Ptr array_of(Object const& object, std::string const& key)
{
    auto array = object.getArray(key);
    return array ? array : Array::Ptr(new Array);
}

Result<std::vector<Row>> parse_rows(std::string const& json)
{
    return parse_object<std::vector<Row>>(json, [](Object const& object) {
        std::vector<Row> rows;
        auto array = array_of(object, "rows");
        for (unsigned i = 0; i < array->size(); ++i) {
            auto row = array->getObject(i);
            rows.push_back({ row->getValue<std::string>("key"), row->getValue<std::string>("value"),
                row->getValue<Poco::UInt64>("version") });
        }
        return rows;
    });
}

std::string format_rows(std::vector<Row> const& rows)
{
    Array array;
    for (auto const& row : rows) {
        Object object;
        object.set("key", row.key);
        object.set("value", row.value);
        object.set("version", static_cast<Poco::UInt64>(row.version));
        array.add(object);
    }
    Object result;
    result.set("rows", array);
    return to_text(result);
}

Result<Transaction> parse_transaction(std::string const& json)
{
    return parse_object<Transaction>(json, [](Object const& object) {
        Transaction transaction;
        auto conditions = array_of(object, "conditions");
        for (unsigned i = 0; i < conditions->size(); ++i) {
            auto condition = conditions->getObject(i);
            transaction.conditions.push_back(
                { condition->getValue<std::string>("key"), condition->getValue<Poco::UInt64>("version") });
        }
        auto writes = array_of(object, "writes");
        for (unsigned i = 0; i < writes->size(); ++i) {
            auto write = writes->getObject(i);
            Write parsed { write->getValue<std::string>("key"), std::nullopt };
            if (write->has("value"))
                parsed.value = write->getValue<std::string>("value");
            transaction.writes.push_back(std::move(parsed));
        }
        return transaction;
    });
}

std::string format_transaction(Transaction const& transaction)
{
    Array conditions;
    for (auto const& condition : transaction.conditions) {
        Object object;
        object.set("key", condition.key);
        object.set("version", static_cast<Poco::UInt64>(condition.expected_version));
        conditions.add(object);
    }
    Array writes;
    for (auto const& write : transaction.writes) {
        Object object;
        object.set("key", write.key);
        if (write.value)
            object.set("value", *write.value);
        writes.add(object);
    }
    Object result;
    result.set("conditions", conditions);
    result.set("writes", writes);
    return to_text(result);
}

Result<std::vector<BackendServerRecord>> parse_backend_servers(std::string const& json)
{
    return parse_object<std::vector<BackendServerRecord>>(json, [](Object const& object) {
        std::vector<BackendServerRecord> records;
        auto array = array_of(object, "hosts");
        for (unsigned i = 0; i < array->size(); ++i) {
            auto entry = array->getObject(i);
            BackendServerRecord record;
            record.id = EngineId(entry->getValue<std::string>("id"));
            record.address = Address(entry->getValue<std::string>("address"));
            record.failure_domain = FailureDomainId(entry->getValue<std::string>("failure_domain"));
            record.model = ModelId(entry->optValue<std::string>("model", ""));
            record.service = ServiceName(entry->optValue<std::string>("service", ""));
            record.capacity = TokenCount(entry->optValue<Poco::Int64>("capacity_tokens", 0));
            record.state = entry->optValue<std::string>("state", "live") == "leaving" ? BackendServerState::Leaving
                                                                                      : BackendServerState::Live;
            record.checks_epochs = entry->optValue<bool>("checks_epochs", true);
            records.push_back(std::move(record));
        }
        return records;
    });
}

std::string format_backend_servers(std::vector<BackendServerRecord> const& records)
{
    Array array;
    for (auto const& record : records) {
        Object object;
        object.set("id", record.id.value());
        object.set("address", record.address.value());
        object.set("failure_domain", record.failure_domain.value());
        object.set("model", record.model.value());
        object.set("service", record.service.value());
        object.set("capacity_tokens", static_cast<Poco::Int64>(record.capacity.value()));
        object.set("state", record.state == BackendServerState::Leaving ? "leaving" : "live");
        object.set("checks_epochs", record.checks_epochs);
        array.add(object);
    }
    Object result;
    result.set("hosts", array);
    return to_text(result);
}

}
