#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bg::fleet {

/// Key of a client account, reduced to a digest with a secret of this process. The key cannot be
/// recovered from it, and who does not know the secret cannot choose keys with similar digests. Not
/// comparable between processes.
class AccountKey
{
public:
  explicit AccountKey(std::string_view aKey);

  /// Uniformly distributed.
  uint64_t Hash() const { return digest_[0]; }

  friend bool operator==(const AccountKey&, const AccountKey&) = default;

private:
  std::array<uint64_t, 2> digest_{};
};

/// A client account. Requests that carry one of its keys belong to it.
struct ClientAccount
{
  std::string name;
  std::vector<AccountKey> keys;
  std::optional<uint32_t> priority; ///< Replaces that of the route; 0 is the most urgent.
  double requestsPerSecond = 0;     ///< Quota over all hosts; 0: no limit.
  double burst = 0;                 ///< Requests that may exceed the rate at once.

  bool HasQuota() const { return requestsPerSecond > 0 || burst > 0; }

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

using ClientAccounts = std::vector<std::shared_ptr<const ClientAccount>>;

/// Index of the client accounts of a configuration by key and name. Look-ups take constant time.
/// Immutable. Keeps a reference to the accounts.
class AccountDirectory
{
public:
  /// A key or name of an account that an earlier account has already.
  struct Conflict
  {
    size_t account = 0;        ///< Index of the account.
    size_t earlier = 0;        ///< Index of the earlier account, which may be the same.
    std::optional<size_t> key; ///< Index of the key in the account; nothing: the name.
  };

  explicit AccountDirectory(const ClientAccounts& aAccounts);

  /// Returns the account that holds a key, or null.
  std::shared_ptr<const ClientAccount> Authenticate(std::string_view aKey) const;
  std::shared_ptr<const ClientAccount> Find(std::string_view aName) const;
  bool IsEmpty() const { return accounts_.empty(); }
  /// The first conflict, in the order of the accounts.
  const std::optional<Conflict>& FirstConflict() const { return conflict_; }
  /// Memory of the index, without the accounts.
  size_t IndexBytes() const
  {
    return byKey_.size() * sizeof(Entry) + byName_.size() * sizeof(Entry);
  }

private:
  /// Entry of an open-addressed table.
  struct Entry
  {
    uint32_t account = 0; ///< Index of the account plus 1; 0: the position is free.
    uint32_t key = 0;     ///< Index of the key in the account.
  };
  using Table = std::vector<Entry>;

  void AddName(size_t aAccount);
  void AddKey(size_t aAccount, size_t aKey);
  void RecordConflict(const Conflict& aConflict);
  size_t FindKey(const AccountKey& aKey) const;
  size_t FindName(std::string_view aName) const;

  const ClientAccounts& accounts_;
  Table byKey_;
  Table byName_;
  std::optional<Conflict> conflict_;
};

} // namespace bg::fleet
