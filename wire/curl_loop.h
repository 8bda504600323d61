/** @file
 * HTTP transfers of libcurl's multi interface, driven by a libev loop.
 *
 * Each started transfer completes with exactly one call of its `done`, from
 * the loop or from curl_loop_destroy(), never from curl_loop_start() or
 * curl_loop_cancel().  Until then the handle and everything that it refers to
 * (header list, body, owner) must remain valid; after that the owner may
 * release or reuse them.
 *
 * All functions except curl_loop_destroy() may also be called from libcurl's
 * callbacks (write, read and header functions), where libcurl itself forbids
 * adding and removing handles.
 */
#ifndef WIRE_CURL_LOOP_H
#define WIRE_CURL_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>
#include <ev.h>

/** Limits over all transfers of a loop; 0 means no limit. */
struct curl_loop_options
{
  uint32_t connections_max;      /**< open; further transfers wait */
  uint32_t connections_host_max; /**< open to one IP:PORT */
  uint32_t connections_idle_max; /**< kept for reuse; 0: libcurl's default */
};

struct curl_loop;

/** Called when a transfer is complete and EASY has left the loop.  CODE is
 * CURLE_ABORTED_BY_CALLBACK after curl_loop_cancel(). */
typedef void curl_loop_done (void *owner, CURLcode code, CURL *easy);

/** Create a loop.  The first one of a process initialises libcurl. */
struct curl_loop *curl_loop_create (struct ev_loop *loop,
                                    const struct curl_loop_options *options);

/** Abort all transfers, calling their `done`, and close all connections.  A
 * NULL loop is ignored. */
void curl_loop_destroy (struct curl_loop *cl);

/** Create a handle with the common settings: HTTP/1.1 only, no signals, no
 * proxy from the environment, no redirects.  To disable `Expect:
 * 100-continue`, the header list of the request must contain "Expect:". */
CURL *curl_loop_create_easy (void);

/** Start EASY.  The loop uses its CURLOPT_PRIVATE until `done`. */
void curl_loop_start (struct curl_loop *cl, CURL *easy, curl_loop_done *done,
                      void *owner);

/** Cancel EASY, which was started and isn't complete.  It stops immediately
 * or, within libcurl's callbacks, once they return; `done` is called later in
 * either case. */
void curl_loop_cancel (struct curl_loop *cl, CURL *easy);

/** Call curl_easy_pause(), which may itself run the owner's callbacks.  To be
 * used in place of it outside of EASY's own callbacks. */
void curl_loop_pause (struct curl_loop *cl, CURL *easy, int bitmask);

/** The connection of a transfer, as CURLOPT_PREREQFUNCTION gives it. */
struct curl_loop_peer
{
  const char *remote_ip;
  uint16_t remote_port;
  uint16_t local_port;
};

/** Return whether unread bytes are waiting on the connection of EASY.  To be
 * called from its CURLOPT_PREREQFUNCTION, each time that runs. */
bool curl_loop_has_input (struct curl_loop *cl, CURL *easy,
                          const struct curl_loop_peer *peer);

/** Number of transfers whose `done` wasn't called yet. */
uint32_t curl_loop_running (const struct curl_loop *cl);

#endif
