#include "gooseberrypath/records.h"
