#pragma once

#include <cstddef>
#include <cstdlib>
#include <new>
#include <type_traits>

namespace lacewing {

/// @brief Allocator for large tables whose empty elements consist of zero bytes. It relies on calloc for the
/// zeroes and does not write to the memory when a vector is created, so pages that are never used take no
/// resident memory. A vector must be created with its final size: an element that is removed and added again
/// would keep its old content.
template <class T>
class zeroed_allocator {
public:
    static_assert(std::is_trivially_copyable_v<T>);
    using value_type = T;

    zeroed_allocator() = default;
    template <class U>
    explicit(false) zeroed_allocator(const zeroed_allocator<U>&) {}

    [[nodiscard]] T* allocate(std::size_t count) {
        auto* memory = std::calloc(count, sizeof(T));
        if (memory == nullptr) throw std::bad_alloc();
        return static_cast<T*>(memory);
    }
    void deallocate(T* memory, std::size_t) { std::free(memory); }

    /// @brief Instead of value-initialising an element, leaves its memory as it is.
    template <class U>
    void construct(U*) {}
    template <class U, class... Arguments>
    void construct(U* place, Arguments&&... arguments) {
        ::new (static_cast<void*>(place)) U(static_cast<Arguments&&>(arguments)...);
    }

    friend bool operator==(const zeroed_allocator&, const zeroed_allocator&) { return true; }
};

} // namespace lacewing
