/** @file
 * HTTP transfers of libcurl's multi interface, driven by a libev loop.
 *
 * Every transfer started ends with exactly one call of its `done`, from the
 * loop or from curl_loop_destroy(), never from within curl_loop_start() or
 * curl_loop_cancel().  Until then the handle and all that it refers to
 * (header list, body, owner) must stay; from then on they are the owner's to
 * release or to use again.
 *
 * All functions but curl_loop_destroy() may be called anywhere on the loop,
 * also within callbacks of libcurl (write, read, header functions), where
 * libcurl itself forbids adding and removing handles.
 */
#ifndef WIRE_CURL_LOOP_H
#define WIRE_CURL_LOOP_H

#include <stdint.h>

#include <curl/curl.h>
#include <ev.h>

/** Bounds over all transfers of one loop; 0 means no bound. */
struct curl_loop_options
{
  uint32_t connections_max;      /**< open at once; further transfers wait */
  uint32_t connections_host_max; /**< the same, to one IP:PORT */
  uint32_t connections_idle_max; /**< kept for later; 0: libcurl's choice */
};

struct curl_loop;

/** A transfer ended.  EASY is no longer in the loop.  CODE is
 * CURLE_ABORTED_BY_CALLBACK after curl_loop_cancel(). */
typedef void curl_loop_done (void *owner, CURLcode code, CURL *easy);

/** The first one made in a process initialises libcurl. */
struct curl_loop *curl_loop_create (struct ev_loop *loop,
                                    const struct curl_loop_options *options);

/** End all transfers, calling their `done`, and close all connections.  NULL
 * does nothing. */
void curl_loop_destroy (struct curl_loop *cl);

/** A new handle set up for jaystair: HTTP/1.1 only, no signals, no proxy from
 * the environment, no redirects followed.  `Expect: 100-continue` is turned
 * off by the member "Expect:" in the caller's header list. */
CURL *curl_loop_create_easy (void);

/** Start EASY.  CURLOPT_PRIVATE is taken by the loop until `done`. */
void curl_loop_start (struct curl_loop *cl, CURL *easy, curl_loop_done *done,
                      void *owner);

/** Give up EASY, which was started and isn't done yet.  Outside of libcurl's
 * callbacks it stops at once, within them as soon as they return; `done`
 * follows in either case. */
void curl_loop_cancel (struct curl_loop *cl, CURL *easy);

/** curl_easy_pause() that may itself call back into the owner; use it in
 * place of that one outside of EASY's own callbacks. */
void curl_loop_pause (struct curl_loop *cl, CURL *easy, int bitmask);

/** Transfers started whose `done` wasn't called yet. */
uint32_t curl_loop_running (const struct curl_loop *cl);

#endif
