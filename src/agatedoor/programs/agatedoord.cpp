#include "node_program.hpp"

/// @brief Runs a node with agatedoor's own store interface and header names; one process runs beside each backend server.
int main(int argc, char **argv)
{
    return agatedoor::runNodeProgram(argc, argv, "agatedoord", agatedoor::defaultNodeInterfaces);
}
