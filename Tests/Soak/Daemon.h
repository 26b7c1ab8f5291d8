/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#pragma once

#include <AK/Types.h>
#include <optional>
#include <string>
#include <sys/types.h>

namespace Soak {

/// One process of the product, started here and signalled only by its process id.
class Daemon {
public:
    /// Does not start the process. Its output is appended to the log.
    Daemon(std::string program, std::string settings_path, std::string log_path);
    ~Daemon();
    Daemon(Daemon const&) = delete;
    Daemon& operator=(Daemon const&) = delete;

    /// Must be called only while the process does not run. Throws std::system_error when the program cannot be started.
    void start();
    void send_signal(int number) const;
    /// Returns the wait status of waitpid(2) once after each exit of the process, and nothing while it runs.
    std::optional<int> reap();

    [[nodiscard]] bool is_running() const { return this->process_id > 0; }
    /// The process id; 0 while the process does not run.
    [[nodiscard]] pid_t id() const { return this->process_id; }
    [[nodiscard]] std::string const& log_file() const { return this->log_path; }
    /// Number of starts so far. The process keeps no view of the system across restarts.
    [[nodiscard]] u32 incarnation() const { return this->start_count; }

private:
    std::string program;
    std::string settings_path;
    std::string log_path;
    pid_t process_id { 0 };
    u32 start_count { 0 };
};

}
