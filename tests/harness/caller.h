/** @file
 * A request load on a fleet, and the recorded outcome of each request.
 */
#ifndef TESTS_HARNESS_CALLER_H
#define TESTS_HARNESS_CALLER_H

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/harness/fleet.h"

/** The outcome of one request as its caller observes it. */
enum class RequestOutcome
{
  ran,     /**< the complete, correct response */
  failed,  /**< a complete error response of the target */
  not_run, /**< refused: certain not to have run */
  unknown, /**< reported as "unknown", or the connection broke */
  wrong,   /**< another request's response, or a truncated one that
               looks complete */
};

struct Record
{
  bool unrepeatable;
  RequestOutcome outcome;
  std::string detail;
};

/** Callers that fetch the host addresses before each request and send GET
 * /calendar and POST /holds requests until stopped.  Each attempt has an id
 * of its own. */
class Load
{
public:
  /** KEPT_THREADS callers more ask for no addresses: each uses its
   * connection to one host until the host closes it or its process is gone,
   * and then connects again. */
  Load (Fleet &fleet, int threads, int kept_threads = 0);
  ~Load ();

  /** Wait until MORE further requests have ended; false on a timeout. */
  bool wait_for_requests (size_t more);
  void stop ();
  size_t count ();
  size_t count_outcome (RequestOutcome outcome);
  /** Check each reported outcome against the runs that the targets recorded.
   * @return "" or a description of each violation; call after stop() */
  std::string check ();
  /** The number of runs beyond the first of each request: the retries that
   * the fleet made itself.  Call after stop(). */
  size_t repeated_runs ();
  std::string summary ();
  /** Requests that ran and whose caller got no response.  Call after
   * stop(). */
  std::string lost ();

private:
  /** The outcomes of the first requests without a complete response. */
  std::string first_unserved ();
  void run (int thread);
  void run_kept (int thread);
  void send_one (int thread, int number);
  void add_record (const std::string &id, const Record &record);
  std::vector<std::string> fetch_addresses (int thread);

  Fleet &fleet_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::map<std::string, Record> records_;
  std::vector<std::thread> threads_;
};

/** Send one request through the host at BASE_URL and classify the response. */
Record send_and_classify (const std::string &base_url, const std::string &id,
                          bool unrepeatable,
                          const std::vector<std::string> &headers = {});

#endif
