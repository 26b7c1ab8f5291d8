#!/usr/bin/env python3
# SPDX-License-Identifier: BSD-2-Clause
"""Disables one mechanism of the decision code in a scratch copy, to measure its effect.

ablate.py list
ablate.py NAME DIRECTORY
"""
import pathlib
import sys

SERVING = "Libraries/LibServing/"

# Maps the name of a mechanism to a description of the system without it, and to the replacements that disable it, each
# as (file, text, replacement).
MECHANISMS = {
    "moves": ("generations are not moved off engines that leave", [
        (SERVING + "Generation.h", "if (!this->traits().can_move ||", "if (true || !this->traits().can_move ||")]),
    "second-copy": ("the run goes on at its engine until that ends, and elsewhere from the first copy", [
        (SERVING + "GenerationMove.h", "if (is_overdue || (links_are_free", "if (is_overdue || (false && links_are_free")]),
    "target-links": ("copies and second copies do not mind what the target's link carries", [
        (SERVING + "GenerationMove.h", "&& this->chosen->engine.incoming_tokens() == 0", ""),
        (SERVING + "BackendChooser.cpp", "copy_wait_cost = 0.5", "copy_wait_cost = 0")]),
    "departed-engines": ("engines off the list are not asked for their end, and nothing is told of them", [
        (SERVING + "BackendTable.cpp", "this->recently_removed[id] = { entry, now };", "(void)now;")]),
    "largest-first": ("copies of small generations do not wait for large ones", [
        (SERVING + "GenerationMove.h", "(1 - share) * AK::to_seconds(max_start_delay)", "(share - share)")]),
    "shares": ("hosts do not use what others say they have at engines", [
        (SERVING + "PeerUse.cpp", "    for (auto const& engine : message.engines()) {",
         "    for (auto const& engine : wire::HostUse().engines()) {")]),
    "reports": ("engines' reports of their memory are not used for placing", [
        (SERVING + "BackendChooser.cpp", "if (!engine.report ||", "if (true || !engine.report ||")]),
    "length-hints": ("callers' guesses of the length are not used", [
        (SERVING + "Generation.h", "this->demand().estimated_output.value_or(TokenCount(max_output.value() / 2))",
         "TokenCount(max_output.value() / 2)")]),
    "unread-prompts": ("prompts that wait to be read cost nothing", [
        (SERVING + "BackendChooser.cpp", "static_cast<double>(backend.engine.unread_tokens()) / unread_tokens_scale",
         "0 / unread_tokens_scale")]),
    "own-domain": ("other failure domains cost nothing", [
        (SERVING + "Generation.h", "other_domain_cost = 0.3", "other_domain_cost = 0"),
        (SERVING + "GenerationMove.h", "other_domain_cost = 1.5", "other_domain_cost = 0"),
        (SERVING + "ServiceCall.h", "other_domain_cost = 0.3", "other_domain_cost = 0")]),
    "suspicion": ("backend servers that fail are not avoided", [
        (SERVING + "BackendTable.cpp", "health.avoid_until = now + avoidance;", "(void)now;")]),
    "told-avoidance": ("what others could not connect to is not avoided", [
        (SERVING + "Suspicion.cpp", "backend->health.peer_avoidance[host] = now + avoidance;", "(void)host;")]),
    "failure-share": ("a backend server that fails part of its requests counts as no fuller", [
        (SERVING + "BackendChooser.cpp", "failure_cost = 4", "failure_cost = 0")]),
    "silent-domains": ("domains whose hosts are silent cost nothing more", [
        (SERVING + "BackendChooser.cpp", "silent_domain_cost = 50", "silent_domain_cost = 0")]),
    "short-connect": ("a call waits for a connection as long as a generation", [
        (SERVING + "ServiceCall.h", "this->call.route->latency_goal / 2, min", "connect_timeout, min")]),
}


def replace(path: pathlib.Path, old: str, new: str) -> None:
    text = path.read_text()
    if text.count(old) != 1:
        sys.exit(f"{path}: expected once, found {text.count(old)} times: {old}")
    path.write_text(text.replace(old, new))


def main() -> None:
    if sys.argv[1:] == ["list"]:
        for name, (what, _) in MECHANISMS.items():
            print(f"{name:18} {what}")
        return
    if len(sys.argv) != 3 or sys.argv[1] not in MECHANISMS:
        sys.exit(f"ablate.py list | NAME DIRECTORY; the names are {', '.join(MECHANISMS)}")
    for file, old, new in MECHANISMS[sys.argv[1]][1]:
        replace(pathlib.Path(sys.argv[2]) / file, old, new)


if __name__ == "__main__":
    main()
