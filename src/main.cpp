#include "lanemoor/client/command_line.h"

int main(int count, char** arguments)
{
    return lanemoor::runCommandLine(count, arguments);
}
