/** @file
 * An operator task in its own loop and thread, on a free port, with fixed
 * tables and a fake backend whose results the test sets.
 */
#ifndef NODE_OPERATOR_TESTS_OPERATOR_FIXTURE_H
#define NODE_OPERATOR_TESTS_OPERATOR_FIXTURE_H

#include <cstdio>
#include <cstring>
#include <string>
#include <thread>
#include <vector>

extern "C"
{
#include "node/operator/operator_task.h"
}

/** A backend with a fixed result for commands, which records its calls. */
struct fake_backend
{
  struct operator_backend backend;
  enum status status = STATUS_OK;
  std::string message;
  std::string changed;
  uint64_t version = 8;
  bool never_answers = false;
  struct operator_command last_command = {};
  int service_calls = 0;
  int ejection_calls = 0;
  int cancels = 0;
};

inline struct fake_backend *
fake (struct operator_backend *backend)
{
  return reinterpret_cast<struct fake_backend *> (backend);
}

inline void
fake_result (struct fake_backend *f, const struct operator_command *command,
             operator_result_done *done, void *owner)
{
  f->last_command = *command;
  if (f->never_answers)
    return;
  struct operator_result result = {};
  result.status = f->status;
  result.message = f->message.c_str ();
  result.acted_on_version = 7;
  result.version = f->version;
  result.changed = f->changed.empty () ? nullptr : f->changed.c_str ();
  done (owner, &result);
}

inline void
fake_change_service (struct operator_backend *backend,
                     const struct operator_command *command,
                     operator_result_done *done, void *owner)
{
  fake (backend)->service_calls++;
  fake_result (fake (backend), command, done, owner);
}

inline void
fake_change_ejection (struct operator_backend *backend,
                      const struct operator_command *command,
                      operator_result_done *done, void *owner)
{
  fake (backend)->ejection_calls++;
  fake_result (fake (backend), command, done, owner);
}

inline bool
fake_clear_poison (struct operator_backend *,
                   const struct operator_command *command)
{
  return command->fingerprint.low == 1;
}

inline void
fake_query_in_force (struct operator_backend *,
                     const struct operator_command *, uint64_t, uint32_t,
                     operator_in_force_done *done, void *owner)
{
  const char *const unresponsive[] = { "h3" };
  struct operator_in_force report = { 2, 3, unresponsive, 1 };
  done (owner, &report);
}

inline int64_t
fake_contact_age_ms (struct operator_backend *)
{
  return 340;
}

inline struct json_object *
fake_not_heard_from (struct operator_backend *)
{
  return json_tokener_parse ("[\"h3\"]");
}

inline void
fake_cancel (struct operator_backend *backend, void *)
{
  fake (backend)->cancels++;
}

inline struct json_object *
fixed_rows (void *text)
{
  return json_tokener_parse (static_cast<const char *> (text));
}

class OperatorFixture
{
public:
  struct fake_backend backend;

  explicit OperatorFixture (const std::string &secret_file = "")
  {
    static const struct operator_backend_ops ops
        = { fake_change_service, fake_change_ejection, fake_clear_poison,
            fake_query_in_force, fake_contact_age_ms,  fake_not_heard_from,
            fake_cancel };
    backend.backend.ops = &ops;
    snprintf (settings.name, sizeof settings.name, "h1");
    snprintf (settings.operator_address, sizeof settings.operator_address,
              "127.0.0.1:0");
    snprintf (settings.secret_file, sizeof settings.secret_file, "%s",
              secret_file.c_str ());
    loop = ev_loop_new (EVFLAG_AUTO);
    counters = counters_create ();
    tables = tables_create ();
    struct operator_task_options options = {};
    options.loop = loop;
    options.settings = &settings;
    options.counters = counters;
    options.tables = tables;
    options.backend = &backend.backend;
    status = operator_task_create (&options, &task);
    if (status != STATUS_OK)
      return;
    port = operator_task_port (task);
    ev_async_init (&stop, on_stop);
    ev_async_start (loop, &stop);
    thread = std::thread ([this] { ev_run (loop, 0); });
  }

  ~OperatorFixture ()
  {
    finish ();
  }

  /** Add a table; call it before the first request. */
  void
  add_table (const char *name, const char *rows)
  {
    tables_register (tables, name, fixed_rows, const_cast<char *> (rows));
  }

  /** Stop the task as a leaving host does. */
  void
  finish ()
  {
    if (thread.joinable ())
      {
        ev_async_send (loop, &stop);
        thread.join ();
      }
    operator_task_destroy (task);
    task = nullptr;
    tables_destroy (tables);
    tables = nullptr;
    counters_destroy (counters);
    counters = nullptr;
    if (loop != nullptr)
      ev_loop_destroy (loop);
    loop = nullptr;
  }

  std::string
  address () const
  {
    return "127.0.0.1:" + std::to_string (port);
  }

  enum status status = STATUS_OK;
  uint16_t port = 0;

private:
  static void
  on_stop (struct ev_loop *loop, ev_async *, int)
  {
    ev_break (loop, EVBREAK_ALL);
  }

  struct host_settings settings = {};
  struct ev_loop *loop = nullptr;
  struct counters *counters = nullptr;
  struct tables *tables = nullptr;
  struct operator_task *task = nullptr;
  ev_async stop = {};
  std::thread thread;
};

#endif
