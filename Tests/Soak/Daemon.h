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

/// One process of the product, started here and ended by its id alone.
class Daemon {
public:
    /// Starts nothing yet. What the process prints is added to the log.
    Daemon(std::string program, std::string settings_path, std::string log_path);
    ~Daemon();
    Daemon(Daemon const&) = delete;
    Daemon& operator=(Daemon const&) = delete;

    /// To be called only while it does not run. Throws std::system_error when the program cannot be started.
    void start();
    void send_signal(int number) const;
    /// How the process ended, once after each end; nothing while it runs. As of waitpid(2).
    std::optional<int> reap();

    [[nodiscard]] bool is_running() const { return this->process_id > 0; }
    /// Counts starts: what one life of the process believes ends with it.
    [[nodiscard]] u32 incarnation() const { return this->lives; }

private:
    std::string program;
    std::string settings_path;
    std::string log_path;
    pid_t process_id { 0 };
    u32 lives { 0 };
};

}
