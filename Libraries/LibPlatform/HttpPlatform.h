/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <LibPlatform/HttpCall.h>
#include <LibPlatform/TableStore.h>

namespace Platform {

/// The platform's table service, object store and host list over HTTP. Calls block; each is on a connection of its
/// own, so that any thread may call.
class HttpPlatform {
public:
    HttpPlatform(Address address, Duration patience);

    Result<Row> read(std::string const& key);
    Result<std::vector<Row>> scan(std::string const& prefix, std::string const& after, size_t limit);
    Result<CommitResult> commit(Transaction const&);
    Result<void> put_object(std::string const& name, std::string const& body);
    Result<std::string> get_object(std::string const& name);
    /// The backend servers of one failure domain, as far as the platform knows.
    Result<std::vector<BackendServerRecord>> list_backend_servers(FailureDomainId const&);

private:
    Address address;
    Duration patience;
};

static_assert(TableStore<HttpPlatform> && ObjectStore<HttpPlatform>);

}
