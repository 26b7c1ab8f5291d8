/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <LibScheduling/Tables.h>

namespace Scheduling {

OrganisationIndex organisation_index(Tables& tables, OrganisationId const& id)
{
    auto next = static_cast<OrganisationIndex>(tables.organisations.size());
    auto [entry, is_new] = tables.organisation_of_id.try_emplace(id, next);
    if (is_new) {
        OrganisationRow row;
        row.id = id;
        tables.organisations.push_back(std::move(row));
    }
    return entry->second;
}

GenerationIndex add_generation(Tables& tables, GenerationRow row)
{
    GenerationIndex index = 0;
    if (tables.free_generations.empty()) {
        index = static_cast<GenerationIndex>(tables.generations.size());
        tables.generations.emplace_back();
    } else {
        index = tables.free_generations.back();
        tables.free_generations.pop_back();
    }
    tables.generation_of_id[row.id] = index;
    tables.generations[index] = std::move(row);
    return index;
}

void remove_generation(Tables& tables, GenerationIndex index)
{
    tables.generation_of_id.erase(tables.generations[index].id);
    tables.generations[index] = {};
    tables.free_generations.push_back(index);
}

std::optional<GenerationIndex> find_generation(Tables const& tables, GenerationId const& id)
{
    auto found = tables.generation_of_id.find(id);
    if (found == tables.generation_of_id.end())
        return std::nullopt;
    return found->second;
}

EngineRow* find_engine(Tables& tables, EngineId const& id)
{
    auto found = tables.engine_of_id.find(id);
    return found == tables.engine_of_id.end() ? nullptr : &tables.engines[found->second];
}

}
