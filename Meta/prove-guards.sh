#!/usr/bin/env bash
# SPDX-License-Identifier: BSD-2-Clause
# Removes one guard at a time from a scratch copy, and shows that the guard's test fails without it and passes with it.
# Arguments: [REGULAR EXPRESSION FOR THE NAMES OF GUARDS]
set -euo pipefail
only=${1:-}
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files --cached --others --exclude-standard | tar -cf - -T - | tar -xf - -C "$scratch"
cmake -G Ninja -B "$scratch/Build" -S "$scratch" -DCMAKE_CXX_FLAGS=-w >/dev/null
failures=0

# guard NAME TEST_PROGRAM TEST FILE ORIGINAL REPLACEMENT
guard() {
    local name=$1 program=$2 test=$3 file=$4 original=$5 replacement=$6 verdict
    if [[ -n $only && ! $name =~ $only ]]; then return; fi
    # Catch2 treats an unescaped comma as a separator of names. A name that matches no test counts as a failure.
    test=${test//,/\\,}
    cp "$scratch/$file" "$scratch/kept"
    if ! ORIGINAL=$original REPLACEMENT=$replacement perl -0pi -e \
        'BEGIN { $o = $ENV{ORIGINAL}; $r = $ENV{REPLACEMENT} } $n = s/\Q$o\E/$r/; END { exit($n ? 0 : 1) }' "$scratch/$file"; then
        echo "$name: the guard was not found in $file" && failures=$((failures + 1))
        return
    fi
    ninja -C "$scratch/Build" --quiet "$program"
    if timeout 120 "$scratch/Build/Tests/$program" -w NoTests "$test" >/dev/null 2>&1; then verdict="NOT NOTICED"; else verdict="fails"; fi
    cp "$scratch/kept" "$scratch/$file"
    ninja -C "$scratch/Build" --quiet "$program"
    if timeout 120 "$scratch/Build/Tests/$program" -w NoTests "$test" >/dev/null 2>&1; then
        echo "$name: without the guard the test $verdict, with it it passes"
    else
        echo "$name: the test fails with the guard too" && verdict="NOT NOTICED"
    fi
    [[ $verdict == fails ]] || failures=$((failures + 1))
}

# soak_guard NAME FILE ORIGINAL REPLACEMENT: without the guard, the fault soak must find a violation in one of four
# seeds.
soak_guard() {
    local name=$1 file=$2 original=$3 replacement=$4
    if [[ -n $only && ! $name =~ $only ]]; then return; fi
    cp "$scratch/$file" "$scratch/kept"
    if ! ORIGINAL=$original REPLACEMENT=$replacement perl -0pi -e \
        'BEGIN { $o = $ENV{ORIGINAL}; $r = $ENV{REPLACEMENT} } $n = s/\Q$o\E/$r/; END { exit($n ? 0 : 1) }' "$scratch/$file"; then
        echo "$name: the guard was not found in $file" && failures=$((failures + 1))
        return
    fi
    ninja -C "$scratch/Build" --quiet soak HostServer
    if (cd "$scratch" && Meta/soak.sh "$scratch/Build" "$scratch/Run" --seeds 4 --first 1 --jobs 4 >"$scratch/soak.txt" 2>&1); then
        echo "$name: NOT NOTICED by the soak" && failures=$((failures + 1))
    else
        echo "$name: without the guard the soak finds: $(grep -m1 VIOLATION "$scratch/soak.txt")"
    fi
    cp "$scratch/kept" "$scratch/$file"
}

guard "duplicates are dropped" TestLibDelivery "whatever comes, what passes is one execution's tokens from the first on" \
    Libraries/LibDelivery/TokenRelay.h "offset < this->next" "false && offset < this->next"
guard "tokens come in order" TestLibDelivery "whatever comes, what passes is one execution's tokens from the first on" \
    Libraries/LibDelivery/TokenRelay.h "offset > this->next" "false && offset > this->next"
guard "one execution" TestLibDelivery "whatever comes, what passes is one execution's tokens from the first on" \
    Libraries/LibDelivery/TokenRelay.h "token_execution != this->execution" "false"
guard "no new attempt after a token" TestPromises "Scenario: an engine loses a generation of which tokens were delivered" \
    Libraries/LibDelivery/TokenRelay.h "if (this->delivered_any)
            return false;" ""
guard "a whole answer" TestPromises "Scenario: the link to an engine breaks in the middle of answers" \
    Libraries/LibGateway/GenerationSession.cpp "auto reattached = this->reattach(source);" \
    "if (true) return RelayEnd::Finished; auto reattached = this->reattach(source);"
guard "not run is certain" TestLibDelivery "the record agrees with a model that counts runs" \
    Libraries/LibDelivery/DispatchRecord.h "return this->open_dispatches == 0 ? Outcome::NotRun : Outcome::MayHaveRun;" \
    "return Outcome::NotRun;"
guard "at most one dispatch" TestPromises "Scenario: a call that must not be repeated runs at most once" \
    Libraries/LibDelivery/DispatchRecord.h \
    "return this->repeatability == Repeatability::Repeatable || this->open_dispatches == 0;" "return true;"
guard "a key is claimed first" TestPromises "Scenario: an idempotency key runs once, through whichever gateway it is repeated" \
    Libraries/LibPlatform/ClaimBatch.h "} else if (claim_is_held(row.value(), this->wall_now)) {" \
    "} else if (false) {"
guard "a claim is conditional" TestLibPlatform "no key is ever granted to two calls" \
    Libraries/LibPlatform/ClaimBatch.h "this->settle_duplicates();" ""
guard "leaving is heeded" TestPromises "Scenario: a backend server that is leaving gets no new work, and what it runs runs to its end" \
    Libraries/LibScheduling/Systems.cpp "return !engine.draining && !engine.silent" "return !engine.silent"
guard "gossip goes to drawn members" TestLibMembership "Scenario: members that start together do not lose each other" \
    Libraries/LibMembership/MemberTable.cpp \
    "std::ranges::sample(known, std::back_inserter(targets), static_cast<std::ptrdiff_t>(count), random);" \
    "for (size_t i = 0; i < std::min(count, known.size()); ++i) targets.push_back(known[(this->self.heartbeat * count + i) % known.size()]);"
guard "the callers' socket is closed" TestPromises "Scenario: a gateway that stops accepting refuses connections and serves what is open" \
    Libraries/LibGateway/CallerFrontend.cpp "this->socket.close();" ""
guard "a gateway needs a router" TestPromises "Scenario: a gateway that knows no router is not ready" \
    Libraries/LibNode/Node.h "this->configuration_known && this->router_known && !this->leaving" \
    "this->configuration_known && !this->leaving"
guard "a lost attempt may have run" TestPromises "Scenario: a generation is lost before its first token and no other engine takes it" \
    Libraries/LibGateway/GenerationSession.cpp "this->writer.fail(error, this->record.outcome(), {});" \
    "this->writer.fail(error, Delivery::Outcome::NotRun, {});"
guard "a queue is handed on" TestPromises "Scenario: a router that leaves hands its queue on" \
    Libraries/LibGateway/GatewayLoop.cpp "if (owner_moved || is_overdue)" "if (false)"
guard "the head is compared" TestLibConfiguration "Scenario: two operators whose calls cross get a revision each" \
    Libraries/LibConfiguration/ConfigurationLog.h "{ { head_key, head_row.version }, { change_key(change_id), 0 } }" "{ }"
guard "forward only" TestLibConfiguration "in whatever order news comes, a process only moves forward" \
    Libraries/LibConfiguration/ConfigurationFollower.cpp "if (Revision(snapshot.revision()) <= this->current.revision())
        return false;" ""
guard "expected revision" TestLibConfiguration "Scenario: of two operators who race from the same revision, one gets a conflict" \
    Libraries/LibConfiguration/ConfigurationLog.h "if (expected_revision && *expected_revision != head_revision)" "if (false)"
guard "the resume token's owner" TestPromises "Scenario: a caller goes on through another gateway" \
    Libraries/LibGateway/GatewayLoop.cpp "token.organisation.value() != organisation->id() || " ""
guard "a route's owner" TestPromises "Scenario: no organisation reaches what belongs to another" \
    Libraries/LibConfiguration/Configuration.cpp "return find_in(this->routes, RouteKey(organisation, name));" \
    "for (auto const& [key, route] : this->routes) { if (key.second == name) return &route; } return nullptr;"
guard "refused at once" TestLibScheduling "Scenario: a request that cannot be served in time is refused at once, with when to come back" \
    Libraries/LibScheduling/PoolState.cpp "this->constants.refuses_by_forecast && wait > max_wait" "false"
guard "the lease's own clock" TestLibPlatform "pauses, lost answers and outages never make two holders, and epochs only grow" \
    Libraries/LibPlatform/Lease.h "return this->held_until && now < *this->held_until - this->margin;" \
    "return this->held_until.has_value();"
guard "a lease is watched for its term" TestLibPlatform "pauses, lost answers and outages never make two holders, and epochs only grow" \
    Libraries/LibPlatform/Lease.h "now - this->watched_since >= this->term + this->margin" "true"

guard "an idle close looks for bytes" TestLibHttp "Scenario: a request on a kept connection is answered, or it is not taken" \
    Libraries/LibHttp/CallerConnection.cpp "if (peek(this->socket) != Readable::Bytes)
        this->close(CloseReason::Idle);" "this->close(CloseReason::Idle);"
guard "a planned close looks for bytes" TestLibHttp "Scenario: a request on a kept connection is answered, or it is not taken" \
    Libraries/LibHttp/CallerConnection.cpp \
    "this->phase == ConnectionPhase::BetweenRequests && peek(this->socket) != Readable::Bytes" \
    "this->phase == ConnectionPhase::BetweenRequests"
guard "a planned close looks at the phase" TestLibHttp "Scenario: a connection is closed without an answer between requests only" \
    Libraries/LibHttp/CallerConnection.cpp \
    "this->phase == ConnectionPhase::BetweenRequests && peek(this->socket) != Readable::Bytes" \
    "peek(this->socket) != Readable::Bytes"
guard "what is refused is not taken" TestLibHttp "Scenario: a connection is closed without an answer between requests only" \
    Libraries/LibHttp/CallerConnection.cpp "if (!this->is_receiving())
        return;
    if (error == asio" "if (error == asio"
guard "a close is told" TestLibHttp "Scenario: whoever works on a request is told when its connection ends" \
    Libraries/LibHttp/CallerConnection.cpp "interrupted->connection_lost();" "(void)interrupted;"
guard "what was accepted is served" TestLibHttp \
    "Scenario: a server that has stopped accepting serves those that came before" \
    Libraries/LibHttp/CallerServer.cpp "if (!error)
            this->serve(std::move(socket), listener.origin);
        if (!listener.acceptor.is_open())" "if (!error && listener.acceptor.is_open())
            this->serve(std::move(socket), listener.origin);
        if (!listener.acceptor.is_open())"
guard "what waits to be accepted is served" TestLibHttp \
    "Scenario: a server that has stopped accepting serves those that came before" \
    Libraries/LibHttp/CallerServer.cpp "while (!error) {" "while (false) {"
guard "a wait is looked at" TestLibHttp "Scenario: a handler that runs after the close of a connection does not reopen it" \
    Libraries/LibHttp/CallerConnection.cpp "if (readable == Readable::Nothing)
        return this->watch_socket();" ""
guard "a closed connection stays closed" TestLibHttp \
    "Scenario: a handler that runs after the close of a connection does not reopen it" \
    Libraries/LibHttp/CallerConnection.cpp "this->writing = false;
    if (!this->is_open())
        return;" "this->writing = false;"
guard "a refused head is not taken" TestLibHttp \
    "Scenario: a request that times out is rejected and not accepted, or accepted and gets a response" \
    Libraries/LibHttp/CallerConnection.cpp "if (!this->is_receiving())
        return;
    if (error == asio" "if (error == asio"
guard "a body has its time" TestLibHttp "Scenario: a request that times out is rejected and not accepted, or accepted and gets a response" \
    Libraries/LibHttp/CallerConnection.cpp "this->set_timer(this->context->limits.idle_timeout, &CallerConnection::handle_body_timeout);" ""
guard "an end behind bytes is noticed" TestLibHttp "Scenario: a caller that leaves is noticed" \
    Libraries/LibHttp/CallerConnection.cpp "if (peer_has_closed(this->socket))" "if (false)"
guard "room is made for new callers" TestLibHttp "Scenario: a new caller is served when idle ones hold all descriptors" \
    Libraries/LibHttp/CallerServer.cpp "if (is_out_of_descriptors)" "if (false)"
guard "an idle time-out is the promised one" TestLibHttp \
    "Scenario: a connection is closed without an answer between requests only" \
    Libraries/LibHttp/CallerConnection.cpp "this->advertised_idle_timeout = this->context->limits.idle_timeout;" ""
guard "a request has one end" TestPlatform "Scenario: a call to a plain service goes through a host on the users' platform" \
    Libraries/LibServing/RequestFlow.h "!error && !this->is_over" "!error"

guard "an engine off the list is asked for its end" TestPlatform \
    "Scenario: an engine that is removed from the list without notice is polled until it reports when it terminates" \
    Libraries/LibServing/BackendTable.cpp "this->recently_removed[id] = { entry, now };" "(void)now;"
guard "copies are spread over links" TestLibServing \
    "Scenario: engines that leave together spread their generations over the links of those that stay" \
    Libraries/LibServing/BackendChooser.cpp "copy_wait_cost = 0.5" "copy_wait_cost = 0"
guard "late beliefs spread the choice" TestLibServing \
    "Scenario: 59 hosts with the same stale view of other domains do not choose the same engine" \
    Libraries/LibServing/BackendChooser.cpp "cost += this->unseen * share_of_unseen(this->random);" ";"
guard "the allowance is shared by all known hosts" TestFleet \
    "Scenario: all hosts together repeat no more than the bound allows" \
    Libraries/LibServing/RetryBudget.cpp ", *this->sharing_hosts })" " })"
guard "a host that has started has no part yet" TestFleet \
    "Scenario: few hosts, each with a large part, repeat no more than the bound allows" \
    Libraries/LibServing/RetryBudget.cpp "now - this->known_since >= this->accounting_window()" "true"
guard "a host that does not know the others has no part" TestFleet \
    "Scenario: all hosts together repeat no more than the bound allows" \
    Libraries/LibServing/Reachability.cpp "    if (!this->table_read_at)
        return {};
" ""
guard "little that was earned is saved" TestFleet "Scenario: all hosts together repeat no more than the bound allows" \
    Libraries/LibServing/RetryBudget.cpp "share - whole + 1," "share,"
guard "the allowance is spent once in a window" TestFleet \
    "Scenario: all hosts together repeat no more than the bound allows" \
    Libraries/LibServing/RetryBudget.cpp "account.spent_allowance.upper_bound_within(this->accounting_window(), now)" "0U"
guard "hosts of other domains are counted as these say" TestLibServing \
    "Scenario: a host counts all hosts that may be serving, including those that it cannot reach" \
    Libraries/LibServing/Reachability.cpp "= count.reported > 0 ? count.reported : count.known;" "= count.known;"
guard "a later start is another server" TestLibServing "Scenario: words of any start in any order leave what the latest start is" \
    Libraries/LibServing/BackendTable.cpp " || known->server.start < server.start);" ");"
guard "an earlier start changes nothing" TestLibServing "Scenario: words of any start in any order leave what the latest start is" \
    Libraries/LibServing/BackendTable.cpp "server.start < this->latest_start_of(server.id)" "false"
guard "others' work counts for the start that they name" TestLibServing \
    "Scenario: words of any start in any order leave what the latest start is" \
    Libraries/LibServing/PeerUse.cpp "if (backend->matches_start(reported.start))" ""
guard "a later start ends what the former had" TestPlatform "Scenario: a generation is relayed event by event" \
    Libraries/LibServing/BackendList.cpp "before->notify_termination();" ";"
guard "who answers for another gets no more" TestPlatform \
    "Scenario: a call to a plain service goes through a host on the users' platform" \
    Libraries/LibServing/BackendList.cpp "backend->has_terminated = true;" ""
guard "an unusable entry gets no work" TestLibServing "Scenario: an entry that cannot be used names no server to give work to" \
    Libraries/LibServing/BackendList.cpp "backend->has_unusable_entry = true;" ";"
guard "a state that is not named is no state" TestPlatform "Scenario: a backend server's entry is read, or names no server" \
    platform/Rows.cpp 'state != "ready" && state != "draining"' "false"
guard "a refusal is believed" TestLibServing "Scenario: engines that refuse do not draw all hosts because they look empty" \
    Libraries/LibServing/BackendTable.cpp " || now < this->health.refusal_avoidance_until" ""
guard "the table of hosts is read to its end" TestLibServing \
    "Scenario: a host reads the hosts of its domain, and those of all domains when it must" \
    Libraries/LibServing/HostDirectory.h "page.value().more && " "false && "
guard "missed changes are awaited from others" TestLibPlatform \
    "Scenario: changes that others know are awaited from them for a while" \
    Libraries/LibPlatform/ChangeFollower.h "this->timing.peer_update_timeout <= 0s" "true"
guard "one host reads promptly for all" TestLibServing "Scenario: one host of all domains reads changes promptly for all" \
    Libraries/LibServing/Reachability.cpp "host.status.domain < this->own_domain && !is_silent" "false && !is_silent"
guard "a service is out of reach by two signs" TestLibServing \
    "Scenario: a domain without a server of a service is partitioned from the domains that have one" \
    Libraries/LibServing/ServiceReachability.cpp "if (std::ranges::find(silent_domains, domain) == silent_domains.end())" \
    "if (silent_domains.empty())"

guard "completions: none for an object that is gone" TestLibCore \
    "Scenario: a completion that is due does not run once its object is gone" \
    Libraries/LibCore/HandlerGuard.h "if (!object.expired())" ""
guard "domains: emptied ones get nothing" TestLibServing \
    "Scenario: nothing new is sent to a failure domain that the operator has emptied" \
    Libraries/LibServing/BackendTable.h "&& !this->is_evacuated" ""
guard "domains: nor do servers that appear there" TestLibServing \
    "Scenario: nothing new is sent to a failure domain that the operator has emptied" \
    Libraries/LibServing/BackendTable.cpp "known->is_evacuated = this->evacuated.contains(server.failure_domain);" ""
guard "domains: an older word changes nothing" TestLibServing \
    "Scenario: nothing new is sent to a failure domain that the operator has emptied" \
    Libraries/LibServing/Evacuations.cpp "if (!is_new && order.version <= known->second.version)" "if (false)"
guard "domains: a copy leaves an emptied one" TestPlatform "Scenario: a generation outlives its engine" \
    Libraries/LibServing/GenerationMove.h "if (this->chosen->is_evacuated)" "if (false)"
guard "cold servers: each host has its part" TestFleet \
    "Scenario: all hosts together send a cold server no more than it bears" \
    Libraries/LibServing/ServerLimits.cpp "< this->own_share(backend, *bound, now)" "< bound->requests"
guard "cold servers: a host that starts has none" TestFleet \
    "Scenario: all hosts together send a cold server no more than it bears" \
    Libraries/LibServing/ServerLimits.cpp "if (this->reachability.fleet_known_for(now).value_or(Duration(0)) < bound->window)" "if (false)"
guard "admission: memory" TestFleet \
    "Scenario: a load beyond what the engines bear does not bring down what they serve in time" \
    Libraries/LibServing/Admission.cpp "return held + wanted + reserve <= memory.value();" "return true;"
guard "admission: what is to be read" TestLibServing \
    "Scenario: a generation is refused at once while no engine has room for it" \
    Libraries/LibServing/Admission.cpp " && prefills_in_time(backend, demand, further)" ""
guard "requests that end servers: each process counts once" TestLibServing \
    "Scenario: a request is quarantined after three servers terminated while running it" \
    Libraries/LibServing/Quarantine.cpp "if (!is_known && (was_held" "if ((was_held"
guard "requests that end servers: what runs beside is innocent" TestLibServing \
    "Scenario: requests that ran beside the cause of terminations are not quarantined" \
    Libraries/LibServing/Quarantine.cpp "this->attribute_to(request);" ""
guard "requests that end servers: told at once" TestFleet \
    "Scenario: a request that ends what runs it reaches few servers more, however many hosts there are" \
    Libraries/LibServing/RequestTerminations.cpp "    if (!changed.empty())
        context.quarantine_changed(changed);
}

bool begin_trial" "}

bool begin_trial"
guard "prompt parts: the most specific is held back" TestLibServing \
    "Scenario: a part of prompts ends the engines of several hosts" \
    Libraries/LibServing/Quarantine.cpp "return count_events(unexplained) >= min_unexplained_terminations;" "return true;"
guard "prompt parts: clearances are told" TestLibServing \
    "Scenario: crashes that no request has caused hold back no part" \
    Libraries/LibServing/RequestTerminations.cpp "if (entry.replies_to_suspicion())" "if (false)"
guard "a partition is no termination" TestHostsCutOff \
    "Scenario: a partition is not taken for the termination of servers" \
    Libraries/LibServing/TerminationCheck.cpp "query_controls(context, *backend, std::move(on_state));" "on_state(state);"
guard "requests are forwarded once" TestHostsCutOff \
    "Scenario: all hosts have lost the backend servers" \
    Libraries/LibServing/ForwardedRequest.h "call.exchange->origin() == Http::RequestOrigin::Caller && " ""
guard "requests that end servers: told again" TestFleet \
    "Scenario: a request that ends what runs it reaches few servers more, however many hosts there are" \
    Libraries/LibServing/RequestTerminations.cpp "static constexpr size_t max_quarantined_per_message = 8;" \
    "static constexpr size_t max_quarantined_per_message = 0;"
guard "requests that end servers: kept by the platform" TestHosts \
    "Scenario: a generation that ends every engine that runs it reaches few more once it has ended three" \
    Libraries/LibServing/QuarantineTable.h "this->pending_writes[key] = row.SerializeAsString();" "this->pending_writes.erase(key);"
guard "named limits: each host has its part" TestFleet \
    "Scenario: hosts of any number send a server no more than the limit that it names" \
    Libraries/LibServing/ServerLimits.cpp "< this->own_share(backend, *bound, now)" "< bound->requests"
guard "named limits: the later word holds" TestLibServing \
    "Scenario: the last rate limit that a server advertised applies, whichever host received it" \
    Libraries/LibServing/RateLimit.cpp "if (backend->limit_reported_at && *backend->limit_reported_at >= reported_at)" "if (false)"
guard "named limits: callers are sent elsewhere" TestHosts \
    "Scenario: all hosts together send a server no more than the limit that it names" \
    Libraries/LibServing/ServerLimits.cpp "&& this->is_within(this->rate_limit_bound(backend, now), backend, now)" ""
guard "back-off: a bar, not a cost" TestHosts \
    "Scenario: a host sends a server nothing in the time for which that asked it for back-off" \
    Libraries/LibServing/BackendTable.h "&& now >= this->back_off_until" ""
guard "back-off: the latest end holds" TestLibServing \
    "Scenario: in any series of answers, successes and entries that come and go, the latest end that was asked for holds" \
    Libraries/LibServing/ServerNotice.cpp "if (until <= backend.back_off_until)" "if (false)"
guard "own words outlast entries" TestLibServing \
    "Scenario: a process that has said that it leaves is sent nothing new, and nothing takes that back" \
    Libraries/LibServing/BackendTable.cpp "this->restore_reported_state(*known);" ""
guard "leaving: the word of an answer" TestHosts \
    "Scenario: a host sends no new work to a server that has said in an answer that it leaves" \
    Libraries/LibServing/ServerNotice.cpp "record_leaving(context, backend);" ""

guard "a response belongs to its request" TestRunOnce \
    "Scenario: a response that names no request says nothing about the request that is awaited" \
    Libraries/LibServing/RunRecord.cpp "is_first ? ResponseSubject::OnlyRequest : ResponseSubject::Unknown" \
    "ResponseSubject::OnlyRequest"
guard "a status promises nothing without a proof" TestRunOnce \
    "Scenario: a server's failure after a run promises nothing to callers" \
    Libraries/LibServing/ServiceCall.h "if (promises_not_run(this->response_status()))" "if (false)"
guard "a host's own word" TestRunOnce \
    "Scenario: a forwarded call is sent to a further host only if the first host itself refuses it" \
    Libraries/LibServing/ForwardedRequest.h "this->response_head->count(Http::not_run_field) > 0" "true"
guard "a removal is due at one moment" TestLibServing "Scenario: the table of backend servers follows the platform's list" \
    Libraries/LibServing/BackendList.cpp "return Duration(0);" "return Duration(1);"
guard "frames are bounded" TestLibHttp "Scenario: what frames a body is refused as soon as it is larger than a head may be" \
    Libraries/LibHttp/CallerConnection.cpp "this->buffer.max_size(" "(void)("
guard "requests share a budget" TestLibHttp "Scenario: requests that take more memory than there is are shed before they are delivered" \
    Libraries/LibHttp/CallerServer.cpp "if (connection->must_be_shed())" "if (false)"
guard "a shed request is not parsed" TestLibHttp "Scenario: requests that take more memory than there is are shed before they are delivered" \
    Libraries/LibHttp/CallerConnection.cpp "if (self->is_receiving())
            self->parse();" "self->parse();"
guard "room for new callers is made of unfinished requests" TestLibHttp \
    "Scenario: a new caller is served when unfinished requests hold all descriptors" \
    Libraries/LibHttp/CallerServer.cpp "for (size_t i = 0; i < shed; ++i)" "for (size_t i = shed; i < shed; ++i)"
guard "a refusal can be read" TestLibHttp "Scenario: a caller that is refused while it sends can read why" \
    Libraries/LibHttp/CallerConnection.cpp "return this->discard_rest();" ""
guard "a body that was sent is given back" TestLibHttp \
    "Scenario: a connection holds no body of its own, and none longer than it takes to send" \
    Libraries/LibHttp/BackendConnection.cpp "this->request.reset();" ""
guard "a row without a value harms no other" TestPlatform "Scenario: odd entries among those of the servers harm nobody" \
    platform/StoreClient.cpp "return {};
    }
}" "throw;
    }
}"
guard "second runs: a failed order proves nothing" TestPlatform \
    "Scenario: an order for the last copy of a run is not carried out" \
    Libraries/LibServing/RunEnd.cpp "    default:
        return {};" "    default:
        return RunEndProof(RunEndGround::Stopped);"
guard "second runs: a cut stream proves nothing" TestPlatform \
    "Scenario: a stream breaks off between the first copy and the last, and its run goes on" \
    Libraries/LibServing/GenerationMove.h "if (this->current == Phase::Copied)
            return this->order_stop();" "if (this->current == Phase::Copied)
            return this->run_is_over(*RunEndProof::from_process(ProcessState::Terminated, 0));"
guard "requests that end servers: one crash counts once" TestLibServing \
    "Scenario: engines crash together under requests that share a part" \
    Libraries/LibServing/Quarantine.cpp "run.began < *last_event_at;" "false;"

soak_guard "once only" Libraries/LibServing/ServiceCall.h \
    "this->call.route->kind == CallKind::Repeatable
            && this->runs.possible_runs() < this->call.route->max_dispatches" "true"
soak_guard "a refusal is true" Libraries/LibServing/RunRecord.cpp \
    "this->may_have_run() ? RequestOutcome::MayHaveRun : RequestOutcome::NotRun" "RequestOutcome::NotRun"
soak_guard "a response belongs to its request" Libraries/LibServing/RunRecord.cpp \
    "is_first ? ResponseSubject::OnlyRequest : ResponseSubject::Unknown" "ResponseSubject::OnlyRequest"
soak_guard "a signed success" Libraries/LibServing/ServiceCall.h "this->is_success() && !this->decoded_response.is_signed" "false"
guard "a failed upload leaves no whole answer" TestLibHttp "Scenario: a response without a length that comes during a long upload ends only where the peer ends it" \
    Libraries/LibHttp/BackendConnection.cpp "this->parser->need_eof() && this->write_failed" "false"
guard "a status that does not exist" TestLibHttp "Scenario: a response whose status does not exist is malformed at once" \
    Libraries/LibHttp/ResponseFault.cpp "status < first_status || status >= end_of_statuses" "false"
guard "a coding that is not undone" TestLibHttp "Scenario: a response in a transfer coding that is not undone is malformed" \
    Libraries/LibHttp/ResponseFault.cpp "has_unknown_transfer_coding(head)" "false"
soak_guard "a cut stream does not look whole" Libraries/LibServing/Generation.h \
    "this->abandon();
        this->exchange().abort();" "this->abandon(); this->exchange().end_stream();"
soak_guard "a planned stop waits" Libraries/LibServing/PlannedStop.cpp \
    "if (is_drained || now >= schedule.process_ends())" "if (true)"
soak_guard "named limits are kept" Libraries/LibServing/ServerLimits.cpp \
    "&& this->is_within(this->rate_limit_bound(backend, now), backend, now)" ""
soak_guard "back-off is kept" Libraries/LibServing/BackendTable.h "&& now >= this->back_off_until" ""
soak_guard "leaving servers get nothing new" Libraries/LibServing/BackendTable.h \
    "this->availability == Availability::Serving && " ""

echo "guards not noticed: $failures"
exit $((failures > 0))
