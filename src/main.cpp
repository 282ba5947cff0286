#include "Cli/Cli.h"

int main(int argc, char **argv)
{
    return catkinloft::runCommandLine(argc, argv);
}
