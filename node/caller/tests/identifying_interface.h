/** @file
 * An interface to targets that repeat a request's id, sign their responses and
 * state when they haven't run a request.
 */
#ifndef NODE_CALLER_TESTS_IDENTIFYING_INTERFACE_H
#define NODE_CALLER_TESTS_IDENTIFYING_INTERFACE_H

#include <string>

extern "C"
{
#include "node/caller/caller_interface.h"
}

inline caller_interface
identifying_interface ()
{
  caller_interface interface = caller_interface_own;
  interface.targets_echo_request_id = true;
  interface.not_run = "X-Not-Run";
  interface.not_run_value = nullptr;
  interface.signature = "X-Signature";
  interface.intended_target = "X-Intended-Target";
  interface.rest = "Retry-After";
  return interface;
}

inline const caller_interface identifying = identifying_interface ();

/** Nothing listens there. */
inline const std::string nowhere = "127.0.0.1:1";

#endif
