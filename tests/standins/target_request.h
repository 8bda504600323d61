/** @file
 * A stand-in target and the requests at it; private to its sources.
 */
#ifndef STANDINS_TARGET_REQUEST_H
#define STANDINS_TARGET_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <ev.h>
#include <microhttpd.h>

#include "base/rng.h"
#include "node/caller/hangup_watch.h"
#include "node/mhd_loop.h"
#include "tests/standins/run_counts.h"
#include "tests/standins/target_server.h"

enum
{
  TARGET_ADDRESS_SIZE = 64,
  TARGET_NAME_SIZE = 64,
};

struct request
{
  struct target_server *server;
  struct MHD_Connection *connection;
  char method[TARGET_NAME_SIZE];
  char *url;
  char *body;
  size_t body_bytes;
  bool started;
  bool complete;
  bool responded;
  bool suspended;
  bool watched;
  bool disconnected;
  bool delay_elapsed;
  int fd;
  uint64_t remaining_bytes; /* of a truncated or chunked response */
  ev_timer delay;
  struct request *prev;
  struct request *next;
};

struct target_server
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  struct mhd_loop *mhd_loop;
  struct hangup_watch *hangup;
  char name[TARGET_NAME_SIZE];
  char address[TARGET_ADDRESS_SIZE];
  struct target_faults faults;
  struct target_counts counts;
  struct run_counts *runs;
  struct request *requests;
  struct rng rng;
  FILE *run_log;
  ev_timer crash_timer;
};

#endif
