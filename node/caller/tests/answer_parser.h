/** @file
 * The responses in the bytes that a caller has received.
 */
#ifndef NODE_CALLER_TESTS_ANSWER_PARSER_H
#define NODE_CALLER_TESTS_ANSWER_PARSER_H

#include <string>
#include <vector>

struct ParsedAnswer
{
  int status;
  std::string head;
  std::string body;
  bool is_whole; /**< its body has the announced length, or its last chunk */
};

/** Returns the length of a chunked body at the start of BYTES, with its
 * framing, or std::string::npos if it isn't whole. */
inline size_t
chunked_size (const std::string &bytes, std::string *body)
{
  size_t at = 0;
  while (true)
    {
      const size_t line_end = bytes.find ("\r\n", at);
      if (line_end == std::string::npos)
        return std::string::npos;
      const size_t size = std::stoul (bytes.substr (at), nullptr, 16);
      const size_t next = line_end + 2 + size + 2;
      if (bytes.size () < next)
        return std::string::npos;
      body->append (bytes, line_end + 2, size);
      at = next;
      if (size == 0)
        return at;
    }
}

/** Responses to requests other than HEAD. */
inline std::vector<ParsedAnswer>
parse_answers (std::string bytes)
{
  std::vector<ParsedAnswer> answers;
  while (!bytes.empty ())
    {
      const size_t head_end = bytes.find ("\r\n\r\n");
      ParsedAnswer answer = { 0, bytes.substr (0, head_end), "", false };
      if (answer.head.rfind ("HTTP/1.1 ", 0) == 0)
        answer.status = std::stoi (answer.head.substr (9, 3));
      bytes.erase (0, head_end == std::string::npos ? head_end : head_end + 4);
      const std::string field = "\r\nContent-Length: ";
      const size_t at = answer.head.find (field);
      size_t size = 0;
      if (at != std::string::npos)
        size = std::stoul (answer.head.substr (at + field.size ()));
      else if (answer.head.find ("\r\nTransfer-Encoding: chunked")
               != std::string::npos)
        size = chunked_size (bytes, &answer.body);
      answer.is_whole = head_end != std::string::npos && size <= bytes.size ();
      if (answer.body.empty ())
        answer.body = bytes.substr (0, size);
      bytes.erase (0, size);
      answers.push_back (answer);
    }
  return answers;
}

#endif
