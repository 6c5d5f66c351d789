// The version that every program names.
#ifndef IVYGW_VERSION_H_
#define IVYGW_VERSION_H_

namespace ivygw {

inline constexpr char kVersion[] = "0.2.0";

}  // namespace ivygw

#endif  // IVYGW_VERSION_H_
