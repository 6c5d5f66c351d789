// Runs a program to its end and keeps what it wrote.
#ifndef IVYGW_TESTS_RIG_PROGRAM_H_
#define IVYGW_TESTS_RIG_PROGRAM_H_

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace rig {

struct Ran {
  int status = -1;
  std::string out;  // standard output and error together
};

inline Ran RunProgram(const std::string& program, const std::vector<std::string>& arguments) {
  int ends[2];
  EXPECT_EQ(pipe(ends), 0);
  pid_t pid = fork();
  if (pid == 0) {
    dup2(ends[1], 1);
    dup2(ends[1], 2);
    close(ends[0]);
    close(ends[1]);
    unsetenv("LB_CONFIG");
    std::vector<char*> argv = {const_cast<char*>(program.c_str())};
    for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    execv(program.c_str(), argv.data());
    _exit(127);
  }
  close(ends[1]);
  Ran ran;
  char part[4096];
  ssize_t n;
  while ((n = read(ends[0], part, sizeof(part))) > 0) ran.out.append(part, static_cast<size_t>(n));
  close(ends[0]);
  int status = 0;
  waitpid(pid, &status, 0);
  ran.status = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  return ran;
}

// A file that goes with the object.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text) {
    char path[] = "/tmp/ivygw-test-XXXXXX";
    int file = mkstemp(path);
    EXPECT_GE(file, 0);
    close(file);
    path_ = path;
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { unlink(path_.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace rig

#endif  // IVYGW_TESTS_RIG_PROGRAM_H_
