// A trace on disk: FILE.000001, FILE.000002, ..., each a run of chunks with a length and a checksum. Bounded:
// past the bound whole segments are dropped, the oldest first, and the numbers tell so. One thread writes, so
// that a slow disk holds nobody up; what it has no room for is dropped and counted.
#ifndef IVYGW_TRACE_SEGMENTS_H_
#define IVYGW_TRACE_SEGMENTS_H_

#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace ivygw::trace {

struct TraceLimits {
  size_t segment_bytes = size_t{8} << 20;
  size_t segments = 16;                     // kept
  size_t waiting_bytes = size_t{16} << 20;  // handed over and not written yet
};

class SegmentWriter {
 public:
  // `fingerprint`: of the configuration. Segments of an earlier trace of this name are removed. Throws
  // TraceError if the first one cannot be written.
  SegmentWriter(const std::string& file, uint64_t fingerprint, const TraceLimits& limits = {});
  ~SegmentWriter();  // writes what waits

  // A chunk: some records. From one thread; never waits for the disk. False if it was dropped.
  bool Append(std::string chunk);
  uint64_t dropped() const { return dropped_; }  // chunks, of this thread

 private:
  void Work();
  bool Begin();  // the next segment
  bool Write(const std::string& chunk);

  const std::string file_;
  const uint64_t fingerprint_;
  const TraceLimits limits_;
  uint64_t dropped_ = 0;
  bool gap_ = false;  // chunks were dropped since the last that was taken
  // The writing thread's own.
  std::FILE* out_ = nullptr;
  uint64_t segment_ = 0;
  size_t written_ = 0;
  bool broken_ = false;  // the disk refused: nothing more is written
  // Shared.
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<std::string> waiting_;
  size_t waiting_bytes_ = 0;
  bool over_ = false;
  std::thread thread_;
};

// What could be read of a trace. What is whole is there, also where something is wrong.
struct TraceFile {
  uint64_t fingerprint = 0;
  uint64_t first_segment = 0;       // above 1: what was before has been dropped
  std::vector<std::string> chunks;  // from the first one up to what is wrong
  std::string fault;                // one text naming file and place; empty where nothing is wrong
  bool torn = false;                // the fault is an end in the middle of a chunk, as after a kill
};
// Throws TraceError where there is no trace of this name, or its first segment is of another version.
TraceFile ReadTrace(const std::string& file);

// Of the text of a configuration: the same text, the same number.
uint64_t Fingerprint(const std::string& text);
uint64_t FingerprintOfFile(const std::string& path);

}  // namespace ivygw::trace

#endif  // IVYGW_TRACE_SEGMENTS_H_
