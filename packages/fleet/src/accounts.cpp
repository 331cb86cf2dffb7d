#include "boragegauge/accounts.h"

#include <cstring>

#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

#include "boragegauge/base.h"

namespace bg::fleet {

namespace {

/// Size of the secret in bytes. With the usual keys of 20 characters, it fits into one block of
/// SHA-256, and it is too long to be guessed.
constexpr size_t kSecretBytes = 32;
/// Positions of a table per entry. A look-up tries 2.5 positions on average at this load if the key
/// is unknown.
constexpr size_t kPositionsPerTwoEntries = 3;

using Secret = std::array<unsigned char, kSecretBytes>;

/// Secret of this process, so that digests are of no use elsewhere.
const Secret& ProcessSecret()
{
  static const Secret kSecret = [] {
    Secret secret{};
    if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1) {
      throw std::system_error(make_error_code(Errc::Unavailable), "random generator");
    }
    return secret;
  }();
  return kSecret;
}

/// Hash of a name. Names are chosen by operators, not by callers.
uint64_t NameHash(std::string_view aName)
{
  return Hash64(aName);
}

/// First position to look at in a table that is not empty: the hash scaled to its size.
size_t FirstPosition(uint64_t aHash, size_t aSize)
{
  return static_cast<size_t>((static_cast<unsigned __int128>(aHash) * aSize) >> 64);
}

size_t TableSize(size_t aEntries)
{
  return (aEntries * kPositionsPerTwoEntries + 1) / 2 + 1; // At least one position stays free.
}

/// Returns the position of the first entry that matches, or else the free one at the end of the
/// search.
template<typename Table, typename Matches>
size_t FindPosition(const Table& aTable, uint64_t aHash, const Matches& aMatches)
{
  size_t position = FirstPosition(aHash, aTable.size());
  while (aTable[position].account != 0 && !aMatches(aTable[position])) {
    position = position + 1 == aTable.size() ? 0 : position + 1;
  }
  return position;
}

} // namespace

AccountKey::AccountKey(std::string_view aKey)
{
  const Secret& secret = ProcessSecret();
  std::string input(reinterpret_cast<const char*>(secret.data()), secret.size());
  input += aKey;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(input.data()), input.size(), digest.data());
  std::memcpy(digest_.data(), digest.data(), sizeof(digest_));
  OPENSSL_cleanse(input.data(), input.size());
}

AccountDirectory::AccountDirectory(const ClientAccounts& aAccounts)
  : accounts_(aAccounts)
{
  size_t keys = 0;
  for (const auto& account : accounts_) {
    keys += account->keys.size();
  }
  byKey_.resize(TableSize(keys));
  byName_.resize(TableSize(accounts_.size()));
  for (size_t i = 0; i < accounts_.size(); ++i) {
    AddName(i);
    for (size_t key = 0; key < accounts_[i]->keys.size(); ++key) {
      AddKey(i, key);
    }
  }
}

size_t AccountDirectory::FindName(std::string_view aName) const
{
  return FindPosition(byName_, NameHash(aName), [&](const Entry& aEntry) {
    return accounts_[aEntry.account - 1]->name == aName;
  });
}

size_t AccountDirectory::FindKey(const AccountKey& aKey) const
{
  return FindPosition(byKey_, aKey.Hash(), [&](const Entry& aEntry) {
    return accounts_[aEntry.account - 1]->keys[aEntry.key] == aKey;
  });
}

void AccountDirectory::AddName(size_t aAccount)
{
  Entry& entry = byName_[FindName(accounts_[aAccount]->name)];
  if (entry.account != 0) {
    return RecordConflict({ aAccount, entry.account - 1, std::nullopt });
  }
  entry.account = static_cast<uint32_t>(aAccount + 1);
}

void AccountDirectory::AddKey(size_t aAccount, size_t aKey)
{
  Entry& entry = byKey_[FindKey(accounts_[aAccount]->keys[aKey])];
  if (entry.account != 0) {
    return RecordConflict({ aAccount, entry.account - 1, aKey });
  }
  entry = { static_cast<uint32_t>(aAccount + 1), static_cast<uint32_t>(aKey) };
}

void AccountDirectory::RecordConflict(const Conflict& aConflict)
{
  if (!conflict_) {
    conflict_ = aConflict;
  }
}

std::shared_ptr<const ClientAccount> AccountDirectory::Authenticate(std::string_view aKey) const
{
  if (aKey.empty() || accounts_.empty()) {
    return nullptr;
  }
  const Entry& entry = byKey_[FindKey(AccountKey(aKey))];
  return entry.account == 0 ? nullptr : accounts_[entry.account - 1];
}

std::shared_ptr<const ClientAccount> AccountDirectory::Find(std::string_view aName) const
{
  const Entry& entry = byName_[FindName(aName)];
  return entry.account == 0 ? nullptr : accounts_[entry.account - 1];
}

} // namespace bg::fleet
