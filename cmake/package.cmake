# Declares one static library of the workspace from all sources below its src folder.
function(rosemarymill_package name)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(rosemarymill_${name} STATIC ${sources})
  target_include_directories(rosemarymill_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  add_library(rosemarymill::${name} ALIAS rosemarymill_${name})
endfunction()
