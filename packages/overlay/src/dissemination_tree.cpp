#include "boragegauge/overlay.h"

#include <algorithm>

namespace bg::overlay {

namespace {

/// Position of a host in a tree whose level 0 are the heads.
struct Place
{
  size_t start = 0;     ///< Index of the first host of its level.
  size_t size = 0;      ///< Hosts of its level, if it is full.
  size_t prevStart = 0; ///< The same of the level above.
  size_t prevSize = 0;
  size_t depth = 0;
};

Place FindPlace(size_t aIndex, const TreeInit& aInit)
{
  Place place{ 0, aInit.headCount };
  while (aIndex >= place.start + place.size) {
    place = {
      place.start + place.size, place.size * aInit.fanOut, place.start, place.size, place.depth + 1
    };
  }
  return place;
}

/// Offsets in a level of the two parents of the host at the given offset in the next one. The
/// second parents are spread, so that hosts with the same first parent have different second ones.
std::pair<size_t, size_t> ParentOffsets(size_t aOffset, size_t aLevelSize)
{
  const size_t first = aOffset % aLevelSize;
  if (aLevelSize == 1) {
    return { first, first };
  }
  return { first, (first + 1 + (aOffset / aLevelSize) % (aLevelSize - 1)) % aLevelSize };
}

} // namespace

DisseminationTree::DisseminationTree(TreeInit aInit)
  : init_(std::move(aInit))
{
  Add(init_.host, init_.failureDomain, init_.capacity);
}

bool DisseminationTree::Add(std::string_view aHost,
                            std::string_view aFailureDomain,
                            uint32_t aCapacity)
{
  Domain& domain = domains_.try_emplace(std::string(aFailureDomain)).first->second;
  const uint32_t capacity = aHost == init_.host ? init_.capacity : aCapacity;
  Entry entry{ capacity, Hash64(aHost), std::string(aHost) };
  auto position = std::lower_bound(domain.begin(), domain.end(), entry);
  if (position != domain.end() && *position == entry) {
    return false;
  }
  const auto known = std::find_if(
    domain.begin(), domain.end(), [&](const Entry& aEntry) { return aEntry.name == aHost; });
  const bool isNew = known == domain.end();
  if (!isNew) {
    domain.erase(known);
    position = std::lower_bound(domain.begin(), domain.end(), entry);
  }
  domain.insert(position, std::move(entry));
  size_ += isNew ? 1 : 0;
  isCurrent_ = false;
  return isNew;
}

size_t DisseminationTree::SelfIndex(const Domain& aDomain) const
{
  const Entry self{ init_.capacity, Hash64(init_.host), init_.host };
  return static_cast<size_t>(std::lower_bound(aDomain.begin(), aDomain.end(), self) -
                             aDomain.begin());
}

void DisseminationTree::Update() const
{
  if (std::exchange(isCurrent_, true)) {
    return;
  }
  children_.clear();
  parents_.clear();
  heads_.clear();
  const Domain& domain = domains_.find(init_.failureDomain)->second;
  const size_t self = SelfIndex(domain);
  for (size_t i = 0; i < std::min(init_.headCount, domain.size()); ++i) {
    if (i != self) {
      heads_.push_back(domain[i].name);
    }
  }
  const Place place = FindPlace(self, init_);
  depth_ = place.depth;
  if (place.depth > 0) {
    const auto [first, second] = ParentOffsets(self - place.start, place.prevSize);
    parents_.push_back(domain[place.prevStart + first].name);
    if (second != first) {
      parents_.push_back(domain[place.prevStart + second].name);
    }
  }
  const size_t offset = self - place.start;
  const size_t childStart = place.start + place.size;
  const size_t childEnd = std::min(domain.size(), childStart + place.size * init_.fanOut);
  for (size_t i = childStart; i < childEnd; ++i) {
    const auto [first, second] = ParentOffsets(i - childStart, place.size);
    if (first == offset || second == offset) {
      children_.push_back(domain[i].name);
    }
  }
}

const std::vector<std::string>& DisseminationTree::Children() const
{
  Update();
  return children_;
}

const std::vector<std::string>& DisseminationTree::Parents() const
{
  Update();
  return parents_;
}

const std::vector<std::string>& DisseminationTree::Heads() const
{
  Update();
  return heads_;
}

size_t DisseminationTree::Depth() const
{
  Update();
  return depth_;
}

std::vector<std::string> DisseminationTree::Contacts(uint64_t aRound) const
{
  std::vector<std::string> contacts;
  for (const auto& [name, domain] : domains_) {
    if (name == init_.failureDomain || domain.empty()) {
      continue;
    }
    const size_t heads = std::min(init_.headCount, domain.size());
    contacts.push_back(domain.front().name);
    for (size_t i = 1; i < std::min(init_.contactsPerDomain, heads); ++i) {
      contacts.push_back(domain[1 + (aRound + i - 1) % (heads - 1)].name);
    }
  }
  return contacts;
}

std::string DisseminationTree::RandomHead(uint64_t aRandom, bool aInThisDomain) const
{
  if (aInThisDomain) {
    const std::vector<std::string>& heads = Heads();
    return heads.empty() ? std::string() : heads[aRandom % heads.size()];
  }
  std::vector<const Domain*> others;
  for (const auto& [name, domain] : domains_) {
    if (name != init_.failureDomain && !domain.empty()) {
      others.push_back(&domain);
    }
  }
  if (others.empty()) {
    return {};
  }
  const Domain& domain = *others[aRandom % others.size()];
  const size_t heads = std::min(init_.headCount, domain.size());
  return domain[aRandom / others.size() % heads].name;
}

size_t DisseminationTree::Order() const
{
  const Domain& own = domains_.find(init_.failureDomain)->second;
  const std::pair self(Hash64(init_.host), std::string_view(init_.host));
  const auto rank =
    static_cast<size_t>(std::count_if(own.begin(), own.end(), [&self](const Entry& aEntry) {
      return std::pair(aEntry.hash, std::string_view(aEntry.name)) < self;
    }));
  const uint64_t ownHash = Hash64(init_.failureDomain);
  size_t order = 0;
  for (const auto& [name, domain] : domains_) {
    // Hosts of a lower rank in any domain, and of the same rank in a domain of a lower hash.
    order += std::min(domain.size(), rank);
    order += domain.size() > rank && Hash64(name) < ownHash ? 1 : 0;
  }
  return order;
}

} // namespace bg::overlay
