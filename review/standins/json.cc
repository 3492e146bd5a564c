// The sources of Boost.JSON, so that nothing has to be linked.
#include <boost/json/src.hpp>
