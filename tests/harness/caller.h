/** @file
 * Callers of a fleet, and the account of what each was told.
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

/** What a caller was told about one request. */
enum class RequestOutcome
{
  ran,     /**< the whole right answer */
  failed,  /**< a whole answer of the target that says failure */
  not_run, /**< refused: surely not run */
  unknown, /**< an honest "unknown", or the connection broke */
  wrong,   /**< an answer that isn't its own, or cut but complete-looking */
};

struct Record
{
  bool unrepeatable;
  RequestOutcome outcome;
  std::string detail;
};

/** Callers that ask for addresses, keep the answer, and send GET /calendar
 * and POST /holds requests until stopped.  Each sending has an id of its
 * own. */
class Load
{
public:
  Load (Fleet &fleet, int threads);
  ~Load ();

  /** Wait until COUNT more requests have ended. */
  bool wait_for_requests (size_t count);
  void stop ();
  size_t count ();
  size_t count_outcome (RequestOutcome told);
  /** Every promise the users are given, against the targets' own account;
   * "" when all are kept, else what broke.  After stop(). */
  std::string check ();
  /** How often requests ran beyond the first time: the fleet's own repeats.
   * After stop(). */
  size_t repeated_runs ();
  std::string summary ();

private:
  /** What the first requests that weren't answered whole were told. */
  std::string first_unserved ();
  void run (int thread);
  void send_one (int thread, int number);
  void add_record (const std::string &id, const Record &record);
  std::vector<std::string> fetch_addresses (int thread);

  Fleet &fleet_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::map<std::string, Record> records_;
  std::vector<std::thread> threads_;
};

/** Send one request through the host at CALLER_URL and judge the answer. */
Record send_and_classify (const std::string &base_url, const std::string &id,
                          bool unrepeatable,
                          const std::vector<std::string> &headers = {});

#endif
