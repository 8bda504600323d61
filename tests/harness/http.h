/** @file
 * HTTP requests of a test, by libcurl.
 */
#ifndef TESTS_HARNESS_HTTP_H
#define TESTS_HARNESS_HTTP_H

#include <map>
#include <string>
#include <vector>

struct json_object;

struct HttpRequest
{
  std::string method = "GET";
  std::string url;
  std::vector<std::string> headers;
  std::string body;
  long timeout_ms = 60000;
};

struct HttpResponse
{
  bool complete = false; /**< a complete answer came */
  long status = 0;
  std::map<std::string, std::string> headers; /**< names in lower case */
  std::string body;
  std::string error;

  std::string header (const std::string &name) const;
};

HttpResponse http (const HttpRequest &request);
HttpResponse http_get (const std::string &url);

/** The member AT of a JSON text, dotted ("rows.0.name"), as text; "" when
 * there is none. */
std::string json_at (const std::string &text, const std::string &at);

/** The number of elements of the array AT. */
size_t json_length (const std::string &text, const std::string &at);

#endif
