#include "gooseberrypath/counters.h"
