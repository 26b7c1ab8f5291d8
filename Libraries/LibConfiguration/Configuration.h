/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Error.h>
#include <AK/Identifiers.h>
#include <LibWire/Messages.h>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace Configuration {

/// The configuration as of one revision. Only for the event loop thread.
class Document {
public:
    [[nodiscard]] Revision revision() const { return this->current_revision; }

    /// Checks whether `change` can be applied to this revision. Errors: InvalidRequest, UnknownEntity, Conflict.
    [[nodiscard]] Result<void> validate(wire::Change const& change) const;
    /// Applies a log entry. Its revision must directly follow the current one.
    void apply(wire::LogEntry const&);

    [[nodiscard]] wire::ConfigurationSnapshot snapshot() const;
    static Document from_snapshot(wire::ConfigurationSnapshot const&);

    [[nodiscard]] wire::Organisation const* find_organisation(OrganisationId const&) const;
    /// Finds the organisation that owns an API key, by the hash of the key.
    [[nodiscard]] wire::Organisation const* find_organisation_by_key_hash(std::string const& hash) const;
    [[nodiscard]] wire::Route const* find_route(OrganisationId const&, RouteName const&) const;
    [[nodiscard]] wire::Model const* find_model(ModelId const&) const;
    [[nodiscard]] wire::PlainService const* find_service(ServiceName const&) const;
    [[nodiscard]] wire::ResumeKey const* find_resume_key(std::string const& id) const;
    /// Returns the key that signs new resume tokens, or nothing when none is configured.
    [[nodiscard]] wire::ResumeKey const* newest_resume_key() const;
    [[nodiscard]] bool is_draining(EngineId const&) const;
    [[nodiscard]] std::set<EngineId> const& draining_backend_servers() const { return this->draining; }

private:
    using RouteKey = std::pair<OrganisationId, RouteName>;

    void put_organisation(wire::Organisation const&);
    void delete_organisation(OrganisationId const&);
    void put_resume_key(wire::ResumeKey const&);
    [[nodiscard]] Result<void> validate_organisation(wire::Organisation const&) const;
    [[nodiscard]] Result<void> validate_route(wire::Route const&) const;
    [[nodiscard]] Result<void> validate_model_deletion(std::string const& model) const;
    [[nodiscard]] Result<void> validate_model(wire::Model const&) const;
    [[nodiscard]] Result<void> validate_organisation_deletion(std::string const& organisation) const;

    Revision current_revision;
    std::map<OrganisationId, wire::Organisation> organisations;
    std::unordered_map<std::string, OrganisationId> organisation_of_key_hash;
    std::map<std::string, wire::Model> models;
    std::map<RouteKey, wire::Route> routes;
    std::map<std::string, wire::PlainService> services;
    // In order of creation. The last key signs.
    std::vector<wire::ResumeKey> resume_keys;
    std::set<EngineId> draining;
};

}
