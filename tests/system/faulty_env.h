// A disk for LevelDB that refuses on command, and that forgets at a loss of power what was not synced: of
// file contents, each write since the last sync may be there, missing or torn, or all of them are gone; of
// names, each file that was made, renamed or removed since the last sync of its folder may be kept or lost by
// itself. A new file's own sync makes its name last. A refused act isn't done, or only in part; it may also
// be told as refused though it was done. Thread-safe.
#ifndef IVYGW_TESTS_SYSTEM_FAULTY_ENV_H_
#define IVYGW_TESTS_SYSTEM_FAULTY_ENV_H_

#include <leveldb/env.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <string>
#include <vector>

namespace ivygw::testing {

// What a loss of power may do beyond cutting off the ends of files that were not synced.
struct PowerLoss {
  bool loses_names = false;   // that were not synced
  bool tears_writes = false;  // each write by itself, so that a later one may be there without an earlier one
};

class FaultyEnv : public leveldb::EnvWrapper {
 public:
  // `folder`: the one whose files are followed. All that it holds now is on disk.
  FaultyEnv(uint64_t seed, std::string folder)
      : EnvWrapper(leveldb::Env::Default()), folder_(std::move(folder)), random_(seed) {
    std::error_code none;
    for (const auto& entry : std::filesystem::directory_iterator(folder_, none)) {
      durable_names_[entry.path().filename()] =
          AddFile(entry.path(), std::filesystem::file_size(entry.path()));
    }
    names_ = durable_names_;
  }
  ~FaultyEnv() override { std::filesystem::remove_all(Kept()); }

  // The next acts that write, sync, make or rename a file are refused; `after` acts from now.
  void Refuse(int acts, int after) {
    std::lock_guard lock(mutex_);
    refused_from_ = acts_ + after;
    refused_until_ = refused_from_ + acts;
  }
  // The same, where reading, listing and removing files are acts, too.
  void RefuseAnyAct(int acts, int after) {
    std::lock_guard lock(mutex_);
    any_refused_from_ = any_acts_ + after;
    any_refused_until_ = any_refused_from_ + acts;
  }
  // Acts that are refused are done all the same.
  void RefusedActsAreDone(bool done) { refused_acts_are_done_ = done; }
  // What was refused last.
  std::string last_refused() {
    std::lock_guard lock(mutex_);
    return last_refused_;
  }
  // Returns once LevelDB's background work is done.
  void AwaitBackgroundWork() {
    std::unique_lock lock(mutex_);
    idle_.wait(lock, [this] { return background_work_ == 0; });
  }
  // A sync that is refused forgets what was to be synced.
  void ForgetOnRefusedSync(bool forget) { forget_on_refused_sync_ = forget; }
  int refusals() {
    std::lock_guard lock(mutex_);
    return refusals_;
  }

  // Takes the place of fsync on a folder.
  bool SyncFolder(const std::string& folder) {
    std::lock_guard lock(mutex_);
    Verdict verdict = Judge("sync of the folder");
    if (verdict != Verdict::kNotDone && std::filesystem::path(folder) == folder_) NamesAreDurable();
    return verdict == Verdict::kDone;
  }

  // Writes to `copy` what is left of the folder when the power is lost now.
  void CopyAsAfterPowerLoss(const std::string& copy, const PowerLoss& loss) {
    std::lock_guard lock(mutex_);
    std::filesystem::create_directories(copy);
    for (const auto& [name, file] : loss.loses_names ? NamesLeft() : names_) {
      if (name.starts_with("LOG") || name == "LOCK") continue;
      std::ofstream(copy + "/" + name, std::ios::binary) << ContentLeft(file, loss);
    }
  }

  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override {
    std::lock_guard lock(mutex_);
    *file = nullptr;
    Verdict verdict = Judge("making " + NameOf(path));
    if (verdict == Verdict::kNotDone) return Refused();
    // A file of that name is another file from now on; the one before may be back after a loss of power.
    std::filesystem::remove(path);
    leveldb::Status status = target()->NewWritableFile(path, file);
    if (!status.ok()) return status;
    size_t id = AddFile(path, 0);
    Rename({.to = NameOf(path), .file = id});
    if (verdict == Verdict::kDoneButRefused) {
      delete *file;
      *file = nullptr;
      return Refused();
    }
    *file = new File(this, id, NameOf(path), *file);
    return status;
  }
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override {
    std::lock_guard lock(mutex_);
    Verdict verdict = Judge("renaming to " + NameOf(to));
    if (verdict == Verdict::kNotDone) return Refused();
    leveldb::Status status = target()->RenameFile(from, to);
    if (status.ok() && names_.count(NameOf(from)) > 0) {
      Rename({.from = NameOf(from), .to = NameOf(to), .file = names_.at(NameOf(from))});
    }
    return verdict == Verdict::kDone ? status : Refused();
  }
  leveldb::Status RemoveFile(const std::string& path) override {
    std::lock_guard lock(mutex_);
    Verdict verdict = JudgeOther("removing " + NameOf(path));
    if (verdict == Verdict::kNotDone) return Refused();
    leveldb::Status status = target()->RemoveFile(path);
    if (status.ok()) Rename({.from = NameOf(path)});
    return verdict == Verdict::kDone ? status : Refused();
  }

  leveldb::Status NewSequentialFile(const std::string& path, leveldb::SequentialFile** file) override {
    *file = nullptr;
    if (RefusesReading("opening " + NameOf(path))) return Refused();
    leveldb::Status status = target()->NewSequentialFile(path, file);
    if (status.ok()) *file = new ReadFile(this, *file);
    return status;
  }
  leveldb::Status NewRandomAccessFile(const std::string& path, leveldb::RandomAccessFile** file) override {
    *file = nullptr;
    if (RefusesReading("opening " + NameOf(path))) return Refused();
    leveldb::Status status = target()->NewRandomAccessFile(path, file);
    if (status.ok()) *file = new ReadAnywhereFile(this, *file);
    return status;
  }
  // As access() does, it tells a disk that refuses to be read as a file that isn't there.
  bool FileExists(const std::string& path) override {
    return !RefusesReading("looking for " + NameOf(path)) && target()->FileExists(path);
  }
  leveldb::Status GetFileSize(const std::string& path, uint64_t* size) override {
    return RefusesReading("size of " + NameOf(path)) ? Refused() : target()->GetFileSize(path, size);
  }
  leveldb::Status GetChildren(const std::string& path, std::vector<std::string>* names) override {
    return RefusesReading("listing the folder") ? Refused() : target()->GetChildren(path, names);
  }
  leveldb::Status LockFile(const std::string& path, leveldb::FileLock** lock) override {
    return RefusesReading("locking") ? Refused() : target()->LockFile(path, lock);
  }
  void Schedule(void (*function)(void*), void* argument) override {
    {
      std::lock_guard lock(mutex_);
      ++background_work_;
    }
    target()->Schedule(&RunScheduled, new Scheduled{this, function, argument});
  }

 private:
  using Names = std::map<std::string, size_t>;  // to files
  struct FileState {
    size_t synced = 0;               // bytes
    std::vector<size_t> write_ends;  // of the writes since, offsets
  };
  // A name given to a file, moved, or taken away.
  struct NameChange {
    std::string from = {}, to = {};  // empty: none
    size_t file = 0;
  };

  enum class Verdict { kDone, kNotDone, kDoneButRefused };

  // Work of LevelDB's background thread.
  struct Scheduled {
    FaultyEnv* env;
    void (*function)(void*);
    void* argument;
  };
  static void RunScheduled(void* scheduled) {
    std::unique_ptr<Scheduled> work(static_cast<Scheduled*>(scheduled));
    work->function(work->argument);
    std::lock_guard lock(work->env->mutex_);
    --work->env->background_work_;
    work->env->idle_.notify_all();
  }

  class ReadFile : public leveldb::SequentialFile {
   public:
    ReadFile(FaultyEnv* env, leveldb::SequentialFile* file) : env_(env), file_(file) {}
    leveldb::Status Read(size_t size, leveldb::Slice* result, char* scratch) override {
      return env_->RefusesReading("reading") ? Refused() : file_->Read(size, result, scratch);
    }
    leveldb::Status Skip(uint64_t size) override { return file_->Skip(size); }

   private:
    FaultyEnv* const env_;
    const std::unique_ptr<leveldb::SequentialFile> file_;
  };
  class ReadAnywhereFile : public leveldb::RandomAccessFile {
   public:
    ReadAnywhereFile(FaultyEnv* env, leveldb::RandomAccessFile* file) : env_(env), file_(file) {}
    leveldb::Status Read(uint64_t offset, size_t size, leveldb::Slice* result, char* scratch) const override {
      return env_->RefusesReading("reading a table") ? Refused() : file_->Read(offset, size, result, scratch);
    }

   private:
    FaultyEnv* const env_;
    const std::unique_ptr<leveldb::RandomAccessFile> file_;
  };

  class File : public leveldb::WritableFile {
   public:
    File(FaultyEnv* env, size_t id, std::string name, leveldb::WritableFile* file)
        : env_(env), id_(id), name_(std::move(name)), file_(file) {}
    ~File() override {
      std::lock_guard lock(env_->mutex_);
      file_.reset();
    }
    leveldb::Status Append(const leveldb::Slice& data) override {
      std::lock_guard lock(env_->mutex_);
      Verdict verdict = env_->Judge("appending to " + name_);
      if (verdict == Verdict::kDone) return file_->Append(data);
      std::uniform_int_distribution<size_t> part(0, data.size());
      bool whole = verdict == Verdict::kDoneButRefused;
      file_->Append(leveldb::Slice(data.data(), whole ? data.size() : part(env_->random_)));
      file_->Flush();
      return Refused();
    }
    leveldb::Status Close() override {
      std::lock_guard lock(env_->mutex_);
      return file_->Close();
    }
    leveldb::Status Flush() override {
      std::lock_guard lock(env_->mutex_);
      Verdict verdict = env_->Judge("flushing " + name_);
      if (verdict == Verdict::kNotDone) return Refused();
      leveldb::Status status = file_->Flush();
      env_->files_[id_].write_ends.push_back(env_->SizeOf(id_));
      return verdict == Verdict::kDone ? status : Refused();
    }
    leveldb::Status Sync() override {
      std::lock_guard lock(env_->mutex_);
      FileState& state = env_->files_[id_];
      Verdict verdict = env_->Judge("sync of " + name_);
      if (verdict == Verdict::kNotDone) {
        if (env_->forget_on_refused_sync_) std::filesystem::resize_file(env_->PathOf(id_), state.synced);
        return Refused();
      }
      // LevelDB syncs the folder before it syncs a manifest.
      if (name_.starts_with("MANIFEST")) env_->NamesAreDurable();
      leveldb::Status status = file_->Flush();  // what a sync covers is booked here; the machine stays on
      if (!status.ok()) return status;
      state = {.synced = env_->SizeOf(id_), .write_ends = {}};
      if (env_->names_.count(name_) > 0 && env_->names_.at(name_) == id_) env_->durable_names_[name_] = id_;
      return verdict == Verdict::kDone ? status : Refused();
    }

   private:
    FaultyEnv* const env_;
    const size_t id_;
    const std::string name_;
    std::unique_ptr<leveldb::WritableFile> file_;
  };

  // An act that writes, syncs, makes or renames.
  Verdict Judge(const std::string& act) {
    ++acts_;
    bool refused = acts_ > refused_from_ && acts_ <= refused_until_;
    return CountAnyAct(act, refused);
  }
  Verdict JudgeOther(const std::string& act) { return CountAnyAct(act, false); }
  Verdict CountAnyAct(const std::string& act, bool refused) {
    ++any_acts_;
    refused = refused || (any_acts_ > any_refused_from_ && any_acts_ <= any_refused_until_);
    if (!refused) return Verdict::kDone;
    ++refusals_;
    last_refused_ = act;
    return refused_acts_are_done_ ? Verdict::kDoneButRefused : Verdict::kNotDone;
  }
  bool RefusesReading(const std::string& act) {
    std::lock_guard lock(mutex_);
    return JudgeOther(act) != Verdict::kDone;
  }
  static leveldb::Status Refused() { return leveldb::Status::IOError("refused by the test"); }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  // Files are followed by hard links, which outlast their names.
  std::string Kept() const { return folder_.string() + ".kept"; }
  std::string PathOf(size_t file) const { return Kept() + "/" + std::to_string(file); }
  size_t SizeOf(size_t file) const { return std::filesystem::file_size(PathOf(file)); }
  static std::string NameOf(const std::string& path) { return std::filesystem::path(path).filename(); }
  size_t AddFile(const std::string& path, size_t synced) {
    std::filesystem::create_directories(Kept());
    size_t id = files_.size() + 1;
    std::filesystem::create_hard_link(path, PathOf(id));
    files_[id].synced = synced;
    return id;
  }

  static void Apply(const NameChange& change, Names* names) {
    if (!change.from.empty()) names->erase(change.from);
    if (!change.to.empty()) (*names)[change.to] = change.file;
  }
  void Rename(NameChange change) {
    Apply(change, &names_);
    not_synced_.push_back(std::move(change));
  }
  void NamesAreDurable() {
    durable_names_ = names_;
    not_synced_.clear();
  }
  Names NamesLeft() {
    Names names = durable_names_;
    bool all_gone = Chance(1.0 / 3);
    for (const NameChange& change : not_synced_) {
      if (!all_gone && Chance(0.5)) Apply(change, &names);
    }
    return names;
  }

  std::string ContentLeft(size_t file, const PowerLoss& loss) {
    std::ifstream stream(PathOf(file), std::ios::binary);
    std::stringstream text;
    text << stream.rdbuf();
    std::string content = text.str();
    const FileState& state = files_.at(file);
    if (state.synced >= content.size()) return content;
    if (!loss.tears_writes) return content.substr(0, state.synced + Part(content.size() - state.synced));
    std::string left = content.substr(0, state.synced);
    if (Chance(1.0 / 3)) return left;
    std::vector<size_t> ends = state.write_ends;
    ends.push_back(content.size());
    size_t begin = state.synced;
    for (size_t end : ends) {
      end = std::clamp(end, begin, content.size());
      LeaveWrite(content, begin, end, &left);
      begin = end;
    }
    return left;
  }
  // A write that is missing or torn leaves zeros where a later one follows, and perhaps at the end, too.
  void LeaveWrite(const std::string& content, size_t begin, size_t end, std::string* left) {
    size_t there = Chance(1.0 / 3) ? end - begin : Chance(0.5) ? 0 : Part(end - begin);
    if (there == 0 && Chance(0.5)) return;
    left->resize(begin, '\0');
    left->append(content, begin, there);
    if (Chance(0.5)) left->resize(end, '\0');
  }
  size_t Part(size_t size) { return std::uniform_int_distribution<size_t>(0, size)(random_); }

  const std::filesystem::path folder_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<size_t, FileState> files_;
  Names names_, durable_names_;
  std::vector<NameChange> not_synced_;
  int acts_ = 0, refused_from_ = 0, refused_until_ = 0, refusals_ = 0;
  int any_acts_ = 0, any_refused_from_ = 0, any_refused_until_ = 0;
  std::string last_refused_;
  std::atomic<bool> forget_on_refused_sync_ = false, refused_acts_are_done_ = false;
  std::condition_variable idle_;
  int background_work_ = 0;
};

}  // namespace ivygw::testing

#endif  // IVYGW_TESTS_SYSTEM_FAULTY_ENV_H_
