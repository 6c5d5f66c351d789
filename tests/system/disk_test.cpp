// The store on disk: what was told as stored is there again, in order; a damaged store is put aside.
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "brewster/disk.h"

#include <CppUTest/TestHarness.h>  // after all others: it names new anew

using namespace ivygw;
using brewster::Disk;
using luxmore::Item;

namespace {

std::string Folder() {
  char name[] = "/tmp/ivygw_disk.XXXXXX";
  return mkdtemp(name);
}

}  // namespace

TEST_GROUP(DiskStore) {};

TEST(DiskStore, WhatWasToldAsStoredIsThereAgainAndInOrder) {
  std::string folder = Folder();
  for (int life = 0; life < 3; ++life) {
    asio::io_context io(1);
    Disk::Content content;
    Disk disk(io, folder + "/table", &content);
    CHECK_EQUAL(static_cast<size_t>(life == 0 ? 0 : 200), content.items.size());
    CHECK(content.counts == (life > 0));
    CHECK(content.unreadable.empty());
    for (const Item& item : content.items) CHECK_EQUAL(static_cast<uint64_t>(life), item.version);
    uint64_t told = 0;
    disk.OnStored([&](uint64_t batch, bool ok) {
      CHECK(ok);
      CHECK_EQUAL(told + 1, batch);
      if (++told == 100) io.stop();
    });
    for (uint64_t batch = 1; batch <= 100; ++batch) {
      luxmore::Replica::Store store;
      store.batch = batch;
      store.counts = batch == 1;
      if (batch == 1) store.cores = {"10.0.0.1", "10.0.0.2"};
      for (int n = 0; n < 2; ++n) {
        store.items.push_back({"k" + std::to_string(batch * 2 + static_cast<uint64_t>(n)), static_cast<uint64_t>(life + 1), n == 1, std::string(100, 'x')});
      }
      disk.Store(std::move(store));
    }
    io.run();
    CHECK_EQUAL(100u, told);
  }
  std::filesystem::remove_all(folder);
}

TEST(DiskStore, ADamagedStoreIsPutAsideAndSaid) {
  std::string folder = Folder(), table = folder + "/table";
  auto open = [&](Disk::Content* content) {
    asio::io_context io(1);
    Disk disk(io, table, content);
    disk.OnStored([&](uint64_t, bool) { io.stop(); });
    luxmore::Replica::Store store;
    store.batch = 1;
    store.items.push_back({"k", 1, false, "body"});
    disk.Store(std::move(store));
    io.run();
  };
  Disk::Content first, second, third;
  open(&first);
  std::ofstream(table + "/CURRENT") << "nonsense";
  open(&second);
  CHECK(!second.unreadable.empty());
  CHECK(second.items.empty());
  open(&third);
  CHECK(third.unreadable.empty());
  CHECK_EQUAL(1u, third.items.size());
  std::filesystem::remove_all(folder);
}
