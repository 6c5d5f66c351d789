#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char** argv) {
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();  // leaks are the sanitizers' to find
  return CommandLineTestRunner::RunAllTests(argc, argv);
}
