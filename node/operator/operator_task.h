/** @file
 * The operator side of a host: an HTTP server on its own address.
 *
 *  - `GET /v1/TABLE`: this host's view, as
 *    `{"host","table","rows":[...],"age_ms","not_heard_from":[...]}`;
 *  - `GET /metrics`: the counters in the text exposition format;
 *  - `POST /v1/command`: one command as JSON, `{"command":"drain",
 *    "service":"holds","target":"holds-1","version":7}`; see
 *    operator_request.h.
 *
 * Commands require the secret of the settings' `secret_file` as
 * `Authorization: Bearer`; if no secret is configured, only loopback
 * connections may send commands.
 */
#ifndef NODE_OPERATOR_OPERATOR_TASK_H
#define NODE_OPERATOR_OPERATOR_TASK_H

#include <stdint.h>

#include <ev.h>

#include "base/counters.h"
#include "base/status.h"
#include "node/host_settings.h"
#include "node/operator/operator_backend.h"
#include "node/tables.h"

struct operator_task;

/** The dependencies of the task, all of which must outlive it. */
struct operator_task_options
{
  struct ev_loop *loop;
  const struct host_settings *settings;
  struct counters *counters;
  struct tables *tables;
  struct operator_backend *backend;
};

/** Bind the operator address and start serving.
 * @return STATUS_INVALID if the address or secret file is invalid,
 * STATUS_SYSTEM if the secret file can't be read or the address can't be
 * bound. */
enum status operator_task_create (const struct operator_task_options *options,
                                  struct operator_task **task);

/** Stop serving; pending commands are cancelled, not undone. */
void operator_task_destroy (struct operator_task *task);

/** The port that the task listens on, also if the settings have port 0. */
uint16_t operator_task_port (const struct operator_task *task);

#endif
