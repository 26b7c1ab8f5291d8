/*
 * Copyright (c) 2026, the lilactiller developers
 *
 * SPDX-License-Identifier: BSD-2-Clause
 */

#include <Tests/Soak/Daemon.h>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <system_error>
#include <unistd.h>

namespace Soak {

Daemon::Daemon(std::string program, std::string settings_path, std::string log_path)
    : program(std::move(program))
    , settings_path(std::move(settings_path))
    , log_path(std::move(log_path))
{
}

Daemon::~Daemon()
{
    if (!this->is_running())
        return;
    this->send_signal(SIGKILL);
    ::waitpid(this->process_id, nullptr, 0);
}

void Daemon::start()
{
    posix_spawn_file_actions_t actions;
    ::posix_spawn_file_actions_init(&actions);
    constexpr mode_t log_mode = 0644;
    ::posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, this->log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, log_mode);
    ::posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // If the process inherited the soak's sockets, connections that the soak closes would stay open for their peers.
    ::posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    auto settings_argument = "--settings=" + this->settings_path;
    char* arguments[] = { this->program.data(), settings_argument.data(), nullptr };
    auto error = ::posix_spawn(&this->process_id, this->program.c_str(), &actions, nullptr, arguments, environ);
    ::posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        this->process_id = 0;
        throw std::system_error(error, std::generic_category(), this->program + " cannot be started");
    }
    ++this->start_count;
}

void Daemon::send_signal(int number) const
{
    if (this->is_running())
        ::kill(this->process_id, number);
}

std::optional<int> Daemon::reap()
{
    int status = 0;
    if (!this->is_running() || ::waitpid(this->process_id, &status, WNOHANG) != this->process_id)
        return {};
    this->process_id = 0;
    return status;
}

}
