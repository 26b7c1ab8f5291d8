/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibDelivery/ResumeToken.h>
#include <Poco/DigestEngine.h>
#include <Poco/HMACEngine.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/SHA2Engine.h>
#include <sstream>
#include <vector>

namespace Delivery {

/// Poco's HMACEngine requires a digest engine with a block size that is a compile-time constant.
class Sha256Engine : public Poco::SHA2Engine {
public:
    enum {
        BLOCK_SIZE = 64,
        DIGEST_SIZE = 32,
    };
    Sha256Engine()
        : Poco::SHA2Engine(Poco::SHA2Engine::SHA_256)
    {
    }
};

std::string sha256_hexadecimal(std::string const& text)
{
    Sha256Engine engine;
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

static std::string authenticate(std::string const& text, SigningKey const& key)
{
    Poco::HMACEngine<Sha256Engine> engine(key.secret_hexadecimal);
    engine.update(text);
    return Poco::DigestEngine::digestToHex(engine.digest());
}

static std::string to_hexadecimal(std::string const& bytes)
{
    return Poco::DigestEngine::digestToHex(Poco::DigestEngine::Digest(bytes.begin(), bytes.end()));
}

static std::string from_hexadecimal(std::string const& text)
{
    auto bytes = Poco::DigestEngine::digestFromHex(text);
    return { bytes.begin(), bytes.end() };
}

std::string sign(ResumeToken const& token, SigningKey const& key)
{
    Poco::JSON::Object payload;
    payload.set("generation", token.generation.value());
    payload.set("attempt", token.attempt.value());
    payload.set("execution", token.execution);
    payload.set("engine", token.engine.value());
    payload.set("address", token.engine_address.value());
    payload.set("organisation", token.organisation.value());
    payload.set("route", token.route.value());
    payload.set("expires", static_cast<Poco::UInt64>(token.expires_wall_milliseconds));
    std::ostringstream json;
    payload.stringify(json);
    auto signed_part = key.id + '.' + to_hexadecimal(json.str());
    return signed_part + '.' + authenticate(signed_part, key);
}

static Error malformed()
{
    return { ErrorKind::InvalidRequest, "not a resume token; send the one that came with the stream", {} };
}

/// Splits a token into key id, payload and signature. Key ids may contain dots, so the parts are split from the end.
static Result<std::vector<std::string>> split(std::string const& text)
{
    auto last = text.rfind('.');
    if (last == std::string::npos || last == 0)
        return malformed();
    auto middle = text.rfind('.', last - 1);
    if (middle == std::string::npos || middle == 0)
        return malformed();
    return std::vector { text.substr(0, middle), text.substr(middle + 1, last - middle - 1), text.substr(last + 1) };
}

Result<std::string> signing_key_id(std::string const& text)
{
    TRY(auto parts, split(text));
    return parts[0];
}

/// Compares in a time that does not depend on the position of the first difference.
static bool equals_in_constant_time(std::string const& left, std::string const& right)
{
    if (left.size() != right.size())
        return false;
    unsigned difference = 0;
    for (size_t i = 0; i < left.size(); ++i)
        difference |= static_cast<unsigned>(left[i] ^ right[i]);
    return difference == 0;
}

Result<ResumeToken> verify(std::string const& text, SigningKey const& key, u64 wall_now)
{
    TRY(auto parts, split(text));
    auto signed_part = parts[0] + '.' + parts[1];
    if (parts[0] != key.id || !equals_in_constant_time(authenticate(signed_part, key), parts[2]))
        return Error { ErrorKind::Forbidden, "the resume token's signature is wrong; send it as it came", {} };
    try {
        Poco::JSON::Parser parser;
        auto payload = parser.parse(from_hexadecimal(parts[1])).extract<Poco::JSON::Object::Ptr>();
        ResumeToken token {
            .generation = GenerationId(payload->getValue<std::string>("generation")),
            .attempt = AttemptNumber(payload->getValue<Poco::UInt32>("attempt")),
            .execution = payload->getValue<std::string>("execution"),
            .engine = EngineId(payload->getValue<std::string>("engine")),
            .engine_address = Address(payload->getValue<std::string>("address")),
            .organisation = OrganisationId(payload->getValue<std::string>("organisation")),
            .route = RouteName(payload->getValue<std::string>("route")),
            .expires_wall_milliseconds = payload->getValue<Poco::UInt64>("expires"),
        };
        if (wall_now > token.expires_wall_milliseconds)
            return Error { ErrorKind::Forbidden, "the resume token has expired; start the request again", {} };
        return token;
    } catch (Poco::Exception const&) {
        return malformed();
    }
}

}
